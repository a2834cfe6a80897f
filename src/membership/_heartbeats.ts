/**
 * Writes the messages that one host sends to others.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { chooseTargets, sample } from "./_fanOut.js";
import { selectKnown } from "./_known.js";
import { type Member, renderStatus } from "./_members.js";
import { type MemberTable } from "./_memberTable.js";
import { renderProgress } from "./_progress.js";
import { type MembershipEffect } from "./messages.js";

/** Lost or not yet known hosts that are tried with each round. */
const PROBES_PER_ROUND = 3;
const PROBES_AMONG_MANY = 1;
/** Bound of the columns in the schema of digests. */
const MOST_COUNTERS = 512;
/** Identities that are asked for, or told, in one message. */
const MOST_WANTED = 64;

type Target = Pick<HostIdentity, "host" | "peersUrl">;

/** What one message tells. */
interface MessageParts {
    readonly own: PeerStatus;
    /** Members told with their identities. */
    readonly whole: readonly Member[];
    /** Members told by their counters. */
    readonly progress?: PeerProgress;
}

/** Options of a writer. */
export interface HeartbeatWriterOptions {
    readonly identity: HostIdentity;
    readonly random: RandomSource;
}

/** Writes heartbeats, and questions and answers about identities. */
export class HeartbeatWriter {
    readonly #table: MemberTable;
    readonly #identity: HostIdentity;
    readonly #random: RandomSource;

    constructor(table: MemberTable, options: HeartbeatWriterOptions) {
        this.#table = table;
        this.#identity = options.identity;
        this.#random = options.random;
    }

    /** Writes one heartbeat for each target of a round. */
    round(own: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        const heard = this.#table.heard().map(member => member.identity);
        return chooseTargets(this.#identity, heard, this.#random)
            .map(target => this.#heartbeat(target, own, nowMilliseconds));
    }

    /** Writes heartbeats for some hosts that are lost, or listed by the platform and not yet heard. */
    probes(own: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        const lost = this.#table.all().filter(member => member.lostAtMilliseconds !== undefined)
            .map(member => member.identity);
        const unknown = this.#table.hostList.live()
            .filter(({ host }) => host !== this.#identity.host && this.#table.get(host) === undefined);
        const count = this.#table.usesRumours() ? PROBES_AMONG_MANY : PROBES_PER_ROUND;
        return sample([...lost, ...unknown], count, this.#random)
            .map(target => this.#heartbeat(target, own, nowMilliseconds));
    }

    /** Tells a newcomer of every host that is heard; it asks back for the identities that it does not know. */
    welcome(newcomer: Target, own: PeerStatus, nowMilliseconds: number): MembershipEffect {
        const others = this.#table.heard().filter(member => member.identity.host !== newcomer.host);
        const progress = renderProgress(others.slice(0, MOST_COUNTERS), nowMilliseconds);
        return this.#reply(newcomer, { own, whole: [], progress }, nowMilliseconds);
    }

    /** Asks for the identities behind hashes. */
    question(target: Target, hashes: readonly number[], own: PeerStatus, nowMilliseconds: number): MembershipEffect {
        const progress = { ...renderProgress([], nowMilliseconds), wanted: hashes.slice(0, MOST_WANTED) };
        return this.#reply(target, { own, whole: [], progress }, nowMilliseconds);
    }

    /** Tells the identities that a peer asked for. */
    answer(target: Target, wanted: readonly Member[], own: PeerStatus, nowMilliseconds: number): MembershipEffect {
        return this.#reply(target, { own, whole: wanted.slice(0, MOST_WANTED) }, nowMilliseconds);
    }

    #heartbeat(target: Target, own: PeerStatus, nowMilliseconds: number): MembershipEffect {
        const members = this.#table.all().filter(member => member.identity.host !== target.host);
        const { whole, counters } = selectKnown(members, this.#identity, this.#random);
        const progress = counters.length === 0 ? {} : { progress: renderProgress(counters, nowMilliseconds) };
        return { type: "send-heartbeat", ...this.#message(target, { own, whole, ...progress }, nowMilliseconds) };
    }

    #reply(target: Target, parts: MessageParts, nowMilliseconds: number): MembershipEffect {
        return { type: "send-reply", ...this.#message(target, parts, nowMilliseconds) };
    }

    #message(target: Target, parts: MessageParts, nowMilliseconds: number) {
        return {
            host: target.host,
            peersUrl: target.peersUrl,
            status: parts.own,
            known: parts.whole.map(member => renderStatus(member, nowMilliseconds)),
            ...(parts.progress === undefined ? {} : { progress: parts.progress }),
        };
    }
}
