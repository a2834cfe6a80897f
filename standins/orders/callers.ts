/**
 * Callers that send orders, retry them at other hosts, and use new keys after an answer that an order did not run.
 *
 * @module
 */
import { hashOrderBody, type Order } from "../../src/orders/index.js";
import { type Fabric, type FabricHost } from "./fabric.js";

/** Options of the callers. */
export interface CallersOptions {
    readonly orders: number;
    readonly intervalMilliseconds: number;
    /** Share of orders whose key has a ticket; the others are claimed. */
    readonly ticketShare: number;
    /** Share of orders sent to two hosts at once. */
    readonly duplicatedShare: number;
    /** Share of orders sent to a random host in place of the owner of their ticket. */
    readonly misdirectedShare: number;
    /** Share of orders whose key is reused with another body. */
    readonly reusedShare: number;
    /** Share of attempts that the caller abandons early. */
    readonly abandonedShare: number;
}

/** Counts how orders ended, each once, from the view of a caller that retries as answers request. */
export interface CallersTally {
    answered: number;
    /** Abandoned after a `not-run` answer to the last attempt. */
    notRun: number;
    mayHaveRun: number;
    /** Not ended yet. */
    open: number;
}

const MAXIMUM_ATTEMPTS = 6;
const CALLER_TIMEOUT_MILLISECONDS = 45_000;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1_500;
const MAXIMUM_EARLY_DELAY_MILLISECONDS = 400;

/** Schedules the callers' orders. The returned tally is complete once no order is open. */
export function startCallers(fabric: Fabric, options: CallersOptions): CallersTally {
    const { schedule, random, history } = fabric;
    const tally: CallersTally = { answered: 0, notRun: 0, mayHaveRun: 0, open: options.orders };

    function pickHost(): FabricHost {
        const ready = fabric.hosts.filter(({ isAlive, isLeaving }) => isAlive && !isLeaving);
        const candidates = ready.length > 0 ? ready : fabric.hosts;
        return candidates[Math.floor(random() * candidates.length)] as FabricHost;
    }

    function createOrder(orderNumber: number, attempt: number, hasTicket: boolean, owner: FabricHost): Order {
        const suffix = hasTicket ? `${orderNumber}-${attempt}` : `bare-${orderNumber}`;
        const key = hasTicket ? `${pickHost().decision.ticketFor(owner.identity)}/${suffix}` : suffix;
        return createOrderWithBody(key, `{"order":${orderNumber}}`);
    }

    function createOrderWithBody(key: string, body: string): Order {
        const content = { service: "line", call: "cut", body };
        return { ...content, key, contentType: "application/json", bodyHash: hashOrderBody(content) };
    }

    function startOrder(orderNumber: number): void {
        const hasTicket = random() < options.ticketShare;
        const owner = pickHost();
        const order = createOrder(orderNumber, 0, hasTicket, owner);
        sendAttempt(orderNumber, order, owner, 1, hasTicket);
        if (random() < options.duplicatedShare) {
            fabric.submit(pickHost(), order, () => undefined, () => undefined);
        }
        if (random() < options.reusedShare) {
            const reused = createOrderWithBody(order.key, "{\"other\":true}");
            schedule.after(
                random() * MAXIMUM_EARLY_DELAY_MILLISECONDS,
                () => void fabric.submit(pickHost(), reused, () => undefined, () => undefined),
            );
        }
    }

    function recordEnd(kind: "answered" | "notRun" | "mayHaveRun"): void {
        tally.open -= 1;
        tally[kind] += 1;
    }

    function sendAttempt(
        orderNumber: number,
        order: Order,
        owner: FabricHost,
        attempt: number,
        hasTicket: boolean,
    ): void {
        const target = owner.isAlive && random() >= options.misdirectedShare ? owner : pickHost();
        let hasEnded = false;
        const retry = (): void => {
            if (attempt >= MAXIMUM_ATTEMPTS) {
                recordEnd("mayHaveRun");
                return;
            }
            sendAttempt(orderNumber, order, pickHost(), attempt + 1, hasTicket);
        };
        const abandon = fabric.submit(target, order, outcome => {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            if (outcome.type === "answered") {
                recordEnd("answered");
                return;
            }
            const mayHaveRun = outcome.ran === "may-have-run";
            if (attempt >= MAXIMUM_ATTEMPTS || (mayHaveRun && outcome.retryAfterMilliseconds === undefined)) {
                recordEnd(mayHaveRun ? "mayHaveRun" : "notRun");
                return;
            }
            schedule.after(outcome.retryAfterMilliseconds ?? 0, () => {
                const nextOwner = pickHost();
                const nextOrder = hasTicket && !mayHaveRun ? createOrder(orderNumber, attempt, true, nextOwner) : order;
                sendAttempt(orderNumber, nextOrder, nextOwner, attempt + 1, hasTicket);
            });
        }, () => {
            if (!hasEnded) {
                hasEnded = true;
                schedule.after(random() * MAXIMUM_RETRY_DELAY_MILLISECONDS, retry);
            }
        });
        const timeoutMilliseconds = random() < options.abandonedShare
            ? random() * MAXIMUM_EARLY_DELAY_MILLISECONDS
            : CALLER_TIMEOUT_MILLISECONDS;
        schedule.after(timeoutMilliseconds, () => {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            abandon();
            if (timeoutMilliseconds === CALLER_TIMEOUT_MILLISECONDS) {
                history.faults.push(
                    `${order.key} had no outcome after ${timeoutMilliseconds} ms at ${target.identity.incarnation}`,
                );
            }
            retry();
        });
    }

    for (let orderNumber = 0; orderNumber < options.orders; orderNumber += 1) {
        schedule.after(orderNumber * options.intervalMilliseconds, () => startOrder(orderNumber));
    }
    return tally;
}
