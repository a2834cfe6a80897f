/**
 * Simulates the hosts of several cells that hold engines, while links fail and the key-value service turns hosts away.
 *
 * @module
 */
import { createSeededRandom, type RandomSource } from "../../src/decision/index.js";
import { type ClockReading, EngineDuties, type StoredHolder } from "../../src/duties/index.js";
import { OutageAgreement } from "../../src/entry/engines/outageAgreement.js";
import { type ConsentAnswer, type ConsentQuestion, type HostDigest } from "../../src/generated/gossip.js";
import { PeerTable } from "../../src/gossip/index.js";
import { createAddresses, createDigest } from "./digests.js";

export const BOUNDS = { confirmedMilliseconds: 1_500, handoverMilliseconds: 3_000 };

const STEP_MILLISECONDS = 20;
const TICK_MILLISECONDS = 200;
const RENEWAL_MILLISECONDS = 500;
const LEASE_MILLISECONDS = 4_000;
const RECENT_ANSWER_MILLISECONDS = 700;
const MINIMUM_DIGEST_MILLISECONDS = 400;
const DIGEST_MILLISECONDS_PER_HOST = 45;
const LISTING_MILLISECONDS = 600;
const CALL_MILLISECONDS = 5;
const LINK_MILLISECONDS = 20;
const LATE_MILLISECONDS = 2_000;
const LEAVING_MILLISECONDS = 1_500;

/** What fails between hosts, and between hosts and the service. */
export interface FleetTrouble {
    /** Returns whether a datagram from one host to another passes. */
    readonly passes: (from: string, to: string) => boolean;
    readonly storeAnswers: (host: string) => boolean;
}

/** Nothing fails. */
export const NO_TROUBLE: FleetTrouble = { passes: () => true, storeAnswers: () => true };

/** Options of {@linkcode OutageFleet}. */
export interface OutageFleetOptions {
    readonly seed: number;
    readonly zones: readonly string[];
    readonly hostCount: number;
    readonly engines: readonly string[];
    /** Shares of datagrams that are lost or late, and of the service's answers that are lost. */
    readonly lostShare: number;
    readonly lateShare: number;
    readonly lostAnswerShare: number;
    /** Whose consent a holder needs: that of its cell alone, or that of all hosts that may take engines over. */
    readonly rule?: "cell" | "fleet";
}

/** An order that reached an engine. */
export interface SimulatedOrder {
    readonly host: string;
    readonly atMilliseconds: number;
    readonly fencingNumber: number;
}

type StoreChange =
    | { readonly type: "session"; readonly host: string; readonly zone: string; readonly session: string | undefined; }
    | { readonly type: "holder"; readonly engine: string; readonly holder: StoredHolder; };

interface LoggedChange {
    readonly change: StoreChange;
    readonly atMilliseconds: number;
}

/** A process of a host. */
class SimulatedHost {
    readonly name: string;
    readonly zone: string;
    readonly duties: EngineDuties;
    readonly peers: PeerTable;
    readonly agreement: OutageAgreement;
    readonly feedMilliseconds: number;
    readonly startedAtMilliseconds: number;
    answeredAtMilliseconds = Number.NEGATIVE_INFINITY;
    applied = 0;
    running = true;
    leaving = false;
    released = false;
    readonly acquiring = new Set<string>();

    constructor(name: string, zone: string, fleet: OutageFleet) {
        this.name = name;
        this.zone = zone;
        this.startedAtMilliseconds = fleet.now;
        this.feedMilliseconds = 50 + fleet.random() * 250;
        this.duties = new EngineDuties(name, BOUNDS);
        this.peers = new PeerTable(name, zone);
        const cellHosts = (): string[] => this.peers.possibleHolders(fleet.now).map(({ host }) => host);
        this.agreement = new OutageAgreement({
            host: name,
            duties: this.duties,
            gossip: {
                askForConsent: (hosts, question) => fleet.ask(this, hosts, question),
                answerConsentQuestion: (asker, answer) => fleet.answer(this, asker, answer),
            },
            readClocks: () => fleet.readClocks(),
            serviceAnswers: () => this.serviceAnswers(fleet.now),
            isLeaving: () => this.leaving,
            cellHosts,
            possibleTakers: () =>
                fleet.rule === "cell" ? cellHosts() : this.peers.possibleTakers(fleet.now).map(({ host }) => host),
        });
    }

    serviceAnswers(nowMilliseconds: number): boolean {
        return nowMilliseconds - this.answeredAtMilliseconds < RECENT_ANSWER_MILLISECONDS;
    }

    apply(change: StoreChange, nowMilliseconds: number): void {
        if (change.type === "holder") {
            this.duties.setHolder(change.engine, change.holder, nowMilliseconds);
        }
        else if (change.host !== this.name) {
            this.#applySession(change, nowMilliseconds);
        }
        else if (change.session === undefined) {
            this.loseSession(nowMilliseconds);
        }
    }

    loseSession(nowMilliseconds: number): void {
        this.duties.loseSession();
        this.duties.setSession(this.name, undefined, nowMilliseconds);
    }

    #applySession(
        { host, session, zone }: Extract<StoreChange, { readonly type: "session"; }>,
        nowMilliseconds: number,
    ): void {
        this.duties.setSession(host, session, nowMilliseconds);
        if (session === undefined) {
            this.peers.unregister(host, nowMilliseconds);
        }
        else {
            this.peers.register({ host, session, zone, addresses: createAddresses(host) }, nowMilliseconds);
        }
    }
}

/**
 * Hosts, the service and the links between them, in simulated time.
 *
 * @example
 * ```ts
 * const fleet = new OutageFleet(options);
 * fleet.run(5_000);
 * fleet.trouble = { ...NO_TROUBLE, storeAnswers: () => false };
 * fleet.run(8_000);
 * findConflicts(fleet.orders);
 * ```
 */
export class OutageFleet {
    readonly random: RandomSource;
    readonly rule: "cell" | "fleet";
    readonly orders = new Map<string, SimulatedOrder[]>();
    trouble = NO_TROUBLE;
    now = 0;
    readonly #options: OutageFleetOptions;
    readonly #hosts = new Map<string, SimulatedHost>();
    readonly #due = new Map<number, (() => void)[]>();
    readonly #log: LoggedChange[] = [];
    readonly #sessions = new Map<string, { readonly session: string; renewedAtMilliseconds: number; }>();
    readonly #holders = new Map<string, StoredHolder>();

    constructor(options: OutageFleetOptions) {
        this.#options = options;
        this.random = createSeededRandom(options.seed);
        this.rule = options.rule ?? "fleet";
        for (let index = 0; index < options.hostCount; index += 1) {
            this.startHost(`host-${String(index).padStart(2, "0")}`);
        }
    }

    /** Returns the running hosts that do not leave, with the times of their starts. */
    hosts(): { readonly name: string; readonly zone: string; readonly startedAtMilliseconds: number; }[] {
        return [...this.#hosts.values()].filter(({ leaving, running }) => running && !leaving);
    }

    /** Starts a process of a host, in place of its earlier one. */
    startHost(name: string): void {
        const earlier = this.#hosts.get(name);
        if (earlier !== undefined) {
            earlier.running = false;
        }
        const { zones } = this.#options;
        const zone = earlier?.zone ?? zones[this.#hosts.size % zones.length] ?? "";
        const host = new SimulatedHost(name, zone, this);
        this.#hosts.set(name, host);
        this.#repeat(host, () => RENEWAL_MILLISECONDS, () => this.#renew(host));
        this.#repeat(host, () => TICK_MILLISECONDS, () => this.#tick(host));
        this.#repeat(host, () => LISTING_MILLISECONDS, () => this.#list(host));
        this.#repeat(
            host,
            () =>
                Math.max(
                    MINIMUM_DIGEST_MILLISECONDS,
                    DIGEST_MILLISECONDS_PER_HOST * host.peers.division().ownCell.length,
                ),
            () => this.#publish(host),
        );
    }

    /** Has a host leave: it takes nothing over, and its process ends after a while. */
    leave(name: string): void {
        const host = this.#hosts.get(name);
        if (host !== undefined) {
            host.leaving = true;
            this.#schedule(LEAVING_MILLISECONDS, () => this.#end(host));
        }
    }

    /** Takes sessions away at the service, as if their leases had run out. */
    revoke(names: readonly string[]): void {
        names.forEach(name => this.#endSession(name));
    }

    run(milliseconds: number): void {
        const end = this.now + milliseconds;
        while (this.now < end) {
            this.now += STEP_MILLISECONDS;
            const due = this.#due.get(this.now) ?? [];
            this.#due.delete(this.now);
            due.forEach(step => step());
            this.#expireSessions();
            [...this.#hosts.values()].filter(({ running }) => running).forEach(host => this.#order(host));
        }
    }

    readClocks(): ClockReading {
        return { steadyMilliseconds: this.now, timeOfDayMilliseconds: this.now };
    }

    ask(from: SimulatedHost, hosts: readonly string[], question: Omit<ConsentQuestion, "type" | "host">): void {
        hosts.forEach(to =>
            this.#send(
                from,
                to,
                host => host.agreement.receiveQuestion({ type: "consent-question", host: from.name, ...question }),
            )
        );
    }

    answer(from: SimulatedHost, asker: string, answer: Omit<ConsentAnswer, "type" | "host">): void {
        this.#send(
            from,
            asker,
            host => host.agreement.receiveAnswer({ type: "consent-answer", host: from.name, ...answer }),
        );
    }

    #schedule(milliseconds: number, step: () => void): void {
        const steps = Math.max(1, Math.ceil(milliseconds / STEP_MILLISECONDS));
        const at = this.now + steps * STEP_MILLISECONDS;
        this.#due.set(at, [...this.#due.get(at) ?? [], step]);
    }

    #repeat(host: SimulatedHost, interval: () => number, step: () => void, first = this.random()): void {
        this.#schedule(first * interval(), () => {
            if (host.running) {
                step();
                this.#repeat(host, interval, step, 1);
            }
        });
    }

    /** Sends a datagram, which may be lost or late. */
    #send(from: SimulatedHost, to: string, deliver: (host: SimulatedHost) => void): void {
        const { lateShare, lostShare } = this.#options;
        if (!this.trouble.passes(from.name, to) || this.random() < lostShare) {
            return;
        }
        const limit = this.random() < lateShare ? LATE_MILLISECONDS : LINK_MILLISECONDS;
        this.#schedule(this.random() * limit, () => {
            const host = this.#hosts.get(to);
            if (host?.running === true) {
                deliver(host);
            }
        });
    }

    /** Calls the service; a call may take effect without an answer. */
    #call<Answer>(host: SimulatedHost, work: () => Answer, onAnswer: (answer: Answer) => void): void {
        if (!this.trouble.storeAnswers(host.name)) {
            return;
        }
        this.#schedule(CALL_MILLISECONDS, () => {
            const answer = work();
            this.#schedule(CALL_MILLISECONDS, () => {
                const isLost = !this.trouble.storeAnswers(host.name)
                    || this.random() < this.#options.lostAnswerShare;
                if (host.running && !isLost) {
                    this.#recordAnswer(host);
                    onAnswer(answer);
                }
            });
        });
    }

    /** Records an answer of the service; a host says at once when the last one is no longer recent. */
    #recordAnswer(host: SimulatedHost): void {
        const { now } = this;
        host.answeredAtMilliseconds = now;
        this.#schedule(RECENT_ANSWER_MILLISECONDS, () => {
            if (host.running && host.answeredAtMilliseconds === now) {
                this.#publish(host);
            }
        });
    }

    #renew(host: SimulatedHost): void {
        if (host.leaving) {
            return;
        }
        const sentAt = this.readClocks();
        const known = host.duties.session;
        this.#call(host, () => this.#renewAtStore(host, known), session => {
            if (known !== undefined && session !== known) {
                host.loseSession(this.now);
            }
            host.duties.recordRenewal(session, sentAt);
            host.duties.setSession(host.name, session, this.now);
        });
    }

    #renewAtStore({ name, zone }: SimulatedHost, known: string | undefined): string {
        const present = this.#sessions.get(name);
        if (present !== undefined && present.session === known) {
            present.renewedAtMilliseconds = this.now;
            return present.session;
        }
        const session = `${name}/${this.#log.length}`;
        this.#sessions.set(name, { session, renewedAtMilliseconds: this.now });
        this.#record({ type: "session", host: name, zone, session });
        return session;
    }

    #record(change: StoreChange): void {
        this.#log.push({ change, atMilliseconds: this.now });
    }

    #expireSessions(): void {
        for (const [name, { renewedAtMilliseconds }] of this.#sessions) {
            if (this.now - renewedAtMilliseconds > LEASE_MILLISECONDS) {
                this.#endSession(name);
            }
        }
    }

    #endSession(name: string): void {
        if (this.#sessions.delete(name)) {
            this.#record({ type: "session", host: name, zone: "", session: undefined });
        }
    }

    #end(host: SimulatedHost): void {
        host.running = false;
        if (this.trouble.storeAnswers(host.name)) {
            this.#endSession(host.name);
        }
    }

    #tick(host: SimulatedHost): void {
        this.#feed(host);
        const { duties } = host;
        duties.relinquishUnconfirmed(this.readClocks());
        for (const { engine, holder, previousHost } of duties.pendingSuccessions(this.now)) {
            this.#send(host, previousHost, previous => previous.duties.setHolder(engine, holder, this.now));
        }
        if (!host.serviceAnswers(this.now)) {
            return;
        }
        if (host.leaving) {
            this.#releaseAll(host);
            return;
        }
        const due = [
            ...duties.dueAcquisitions(this.#options.engines, this.now),
            ...duties.acquisitionsToSettle(this.readClocks()),
        ];
        due.filter(({ engine }) => !host.acquiring.has(engine)).forEach(acquisition =>
            this.#writeHolder(host, acquisition, false)
        );
    }

    #releaseAll(host: SimulatedHost): void {
        if (!host.released) {
            host.released = true;
            host.duties.held().forEach(acquisition => this.#writeHolder(host, acquisition, true));
        }
    }

    #writeHolder(
        host: SimulatedHost,
        { engine, expectedRevision, settled }: ReturnType<EngineDuties["held"]>[number],
        released: boolean,
    ): void {
        const { session } = host.duties;
        if (session === undefined) {
            return;
        }
        host.acquiring.add(engine);
        this.#schedule(TICK_MILLISECONDS, () => host.acquiring.delete(engine));
        const write = (): StoredHolder | undefined => {
            if ((this.#holders.get(engine)?.revision ?? 0) !== expectedRevision) {
                return undefined;
            }
            const holder = { host: host.name, session, released, settled, revision: this.#log.length + 1 };
            this.#holders.set(engine, holder);
            this.#record({ type: "holder", engine, holder });
            return holder;
        };
        this.#call(host, write, holder => {
            if (holder !== undefined) {
                host.duties.setHolder(engine, holder, this.now);
            }
        });
    }

    /** Brings the service's changes to a host, from the service itself or from a host of its cell that watches it. */
    #feed(host: SimulatedHost): void {
        const isServed = this.trouble.storeAnswers(host.name);
        const isFed = isServed
            || host.peers.cellPeers().some(({ host: peer }) =>
                this.#hosts.get(peer)?.running === true && this.trouble.storeAnswers(peer)
                && this.trouble.passes(peer, host.name)
            );
        for (const { atMilliseconds, change } of isFed ? this.#log.slice(host.applied) : []) {
            if (atMilliseconds > this.now - host.feedMilliseconds) {
                break;
            }
            host.applied += 1;
            host.apply(change, this.now);
        }
    }

    #publish(host: SimulatedHost): void {
        const digest = createDigest(host.name, {
            ...host.agreement.nextStatement(),
            zone: host.zone,
            leaving: host.leaving,
            relinquished: host.duties.relinquishments(this.now),
        });
        host.peers.cellPeers().forEach(peer => this.#send(host, peer.host, to => this.#receiveDigest(to, digest)));
        host.agreement.exchangeWithOtherCells();
    }

    #receiveDigest(host: SimulatedHost, digest: HostDigest): void {
        host.peers.recordDigest(digest, this.now);
        digest.relinquished.forEach(report => host.duties.recordRelinquishment(report, this.now));
        host.agreement.receiveStatement(digest);
    }

    /** Tells other cells what their aggregates say: that this host is live, and what it relinquished. */
    #list(host: SimulatedHost): void {
        const relinquished = host.duties.relinquishments(this.now);
        for (const { host: to } of host.leaving ? [] : host.peers.division().otherCells.flat()) {
            this.#send(host, to, other => {
                other.peers.recordListed(host.name, this.now);
                relinquished.forEach(report => other.duties.recordRelinquishment(report, this.now));
            });
        }
    }

    #order(host: SimulatedHost): void {
        for (const engine of host.released ? [] : this.#options.engines) {
            const fencingNumber = host.duties.fencingNumber(engine, this.readClocks());
            if (fencingNumber !== undefined) {
                host.duties.recordOrder(engine, this.now);
                const orders = this.orders.get(engine) ?? [];
                this.orders.set(engine, orders);
                orders.push({ host: host.name, atMilliseconds: this.now, fencingNumber });
            }
        }
    }
}

/** Returns the orders of two holders that come too close, or under a lower fencing number after a higher one. */
export function findConflicts(orders: ReadonlyMap<string, readonly SimulatedOrder[]>): string[] {
    return [...orders].flatMap(([engine, ofEngine]) =>
        ofEngine.flatMap((order, index) => {
            const previous = ofEngine[index - 1];
            const isConflict = previous !== undefined && (order.fencingNumber < previous.fencingNumber
                || (order.host !== previous.host
                    && order.atMilliseconds - previous.atMilliseconds < BOUNDS.handoverMilliseconds));
            return isConflict ? [`${engine}: ${JSON.stringify([previous, order])}`] : [];
        })
    );
}
