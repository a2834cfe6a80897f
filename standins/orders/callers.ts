/**
 * Callers that send orders, repeat them at other hosts, and take new keys when told that an order did not run.
 *
 * @module
 */
import { hashOrderBody, type Order } from "../../src/orders/index.js";
import { type Fabric, type FabricHost } from "./fabric.js";

/** What callers do. */
export interface CallersOptions {
    readonly orders: number;
    readonly intervalMilliseconds: number;
    /** Share of orders whose key has a ticket; the others are claimed. */
    readonly ticketShare: number;
    /** Share of orders sent to two hosts at once. */
    readonly doubledShare: number;
    /** Share of orders sent to another host than the one that the ticket names. */
    readonly strayShare: number;
    /** Share of orders whose key comes again with another body. */
    readonly reusedShare: number;
    /** Share of attempts that the caller abandons soon. */
    readonly abandonedShare: number;
}

/** How the orders of a run ended, each counted once, for the caller that goes on as it is told. */
export interface CallersTally {
    answered: number;
    /** Gave up with only true `not-run` answers. */
    notRun: number;
    mayHaveRun: number;
    /** Still without an outcome. */
    open: number;
}

const MOST_ATTEMPTS = 6;
const PATIENCE_MILLISECONDS = 45_000;
const LONGEST_REPEAT_DELAY_MILLISECONDS = 1_500;
const SOON_MILLISECONDS = 400;

/** Begins to send orders; the tally is complete when the schedule has run far enough. */
export function startCallers(fabric: Fabric, options: CallersOptions): CallersTally {
    const { schedule, random, history } = fabric;
    const tally: CallersTally = { answered: 0, notRun: 0, mayHaveRun: 0, open: options.orders };

    function pick(): FabricHost {
        const ready = fabric.hosts.filter(({ isAlive, isLeaving }) => isAlive && !isLeaving);
        const candidates = ready.length > 0 ? ready : fabric.hosts;
        return candidates[Math.floor(random() * candidates.length)] as FabricHost;
    }

    function makeOrder(number: number, attempt: number, hasTicket: boolean, owner: FabricHost): Order {
        const unique = hasTicket ? `${number}-${attempt}` : `bare-${number}`;
        const key = hasTicket ? `${pick().decision.ticketFor(owner.identity)}/${unique}` : unique;
        return withBody(key, `{"order":${number}}`);
    }

    function withBody(key: string, body: string): Order {
        const named = { service: "line", call: "cut", body };
        return { ...named, key, contentType: "application/json", bodyHash: hashOrderBody(named) };
    }

    function begin(number: number): void {
        const hasTicket = random() < options.ticketShare;
        const owner = pick();
        const order = makeOrder(number, 0, hasTicket, owner);
        send(number, order, owner, 1, hasTicket);
        if (random() < options.doubledShare) {
            fabric.submit(pick(), order, () => undefined, () => undefined);
        }
        if (random() < options.reusedShare) {
            const reused = withBody(order.key, "{\"other\":true}");
            schedule.after(
                random() * SOON_MILLISECONDS,
                () => void fabric.submit(pick(), reused, () => undefined, () => undefined),
            );
        }
    }

    function end(kind: "answered" | "notRun" | "mayHaveRun"): void {
        tally.open -= 1;
        tally[kind] += 1;
    }

    function send(number: number, order: Order, owner: FabricHost, attempt: number, hasTicket: boolean): void {
        const target = owner.isAlive && random() >= options.strayShare ? owner : pick();
        let ended = false;
        const repeat = (): void => {
            if (attempt >= MOST_ATTEMPTS) {
                end("mayHaveRun");
                return;
            }
            send(number, order, pick(), attempt + 1, hasTicket);
        };
        const abandon = fabric.submit(target, order, outcome => {
            if (ended) {
                return;
            }
            ended = true;
            if (outcome.type === "answered") {
                end("answered");
                return;
            }
            const indefinite = outcome.ran === "may-have-run";
            if (attempt >= MOST_ATTEMPTS || (indefinite && outcome.retryAfterMilliseconds === undefined)) {
                end(indefinite ? "mayHaveRun" : "notRun");
                return;
            }
            schedule.after(outcome.retryAfterMilliseconds ?? 0, () => {
                const next = pick();
                const again = hasTicket && !indefinite ? makeOrder(number, attempt, true, next) : order;
                send(number, again, next, attempt + 1, hasTicket);
            });
        }, () => {
            if (!ended) {
                ended = true;
                schedule.after(random() * LONGEST_REPEAT_DELAY_MILLISECONDS, repeat);
            }
        });
        const patience = random() < options.abandonedShare ? random() * SOON_MILLISECONDS : PATIENCE_MILLISECONDS;
        schedule.after(patience, () => {
            if (ended) {
                return;
            }
            ended = true;
            abandon();
            if (patience === PATIENCE_MILLISECONDS) {
                history.faults.push(
                    `${order.key} had no outcome after ${patience} ms at ${target.identity.incarnation}`,
                );
            }
            repeat();
        });
    }

    for (let number = 0; number < options.orders; number += 1) {
        schedule.after(number * options.intervalMilliseconds, () => begin(number));
    }
    return tally;
}
