/**
 * The membership decision of one host.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type RandomSource } from "../decision/index.js";
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { HeartbeatWriter } from "./_heartbeats.js";
import { type Member } from "./_members.js";
import { MemberTable } from "./_memberTable.js";
import { indexMembers, readProgress, unknownHashes } from "./_progress.js";
import { type CallerPlace, choosePoller, rankByDistance } from "./_ranking.js";
import { type MembershipEffect, type MembershipMessage } from "./messages.js";

const HEARTBEAT_INTERVAL_MILLISECONDS = 1000;
const UNREACHABLE_MILLISECONDS = 2500;
/** A gap between two ticks beyond this is this host's own pause, not silence of others. */
const OWN_PAUSE_MILLISECONDS = 1500;

type Message<Type extends MembershipMessage["type"]> = Extract<MembershipMessage, { type: Type; }>;
type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key]; };

/** Options of {@linkcode createMembershipDecision}. */
export interface MembershipOptions {
    readonly identity: HostIdentity;
    readonly random: RandomSource;
}

/** How many hosts there are, for the configuration decision's `presence`. */
export interface MembershipPresence {
    /** Live hosts of this host's zone, this host among them. */
    readonly liveInZone: readonly string[];
    /** Number of live hosts of this host's region, this host among them. */
    readonly liveInRegion: number;
    /** Number of live hosts in the platform's list, where it was read lately. */
    readonly listedLive?: number;
}

/** The membership decision, with the questions that other tasks ask it. */
export interface MembershipDecision extends Decision<MembershipMessage, MembershipEffect> {
    /** Gives the other hosts that are heard and stay, by name. */
    livePeers(): HostIdentity[];
    /** Gives the other hosts that are heard, those that leave among them. */
    heardPeers(): HostIdentity[];
    /** Gives every host that is remembered, this one first. */
    allKnown(): HostIdentity[];
    /** Gives the addresses for a caller, nearest first; never a host that leaves. */
    rankAddresses(place: CallerPlace): HostIdentity[];
    /** Names the host that polls an engine. */
    pollerOf(engine: string, engineZone: string): string | undefined;
    /** Tells whether a host is heard and this host's heartbeats to it are answered. */
    reachable(host: string): boolean;
    /** Tells how many hosts there are. */
    presence(nowMilliseconds: number): MembershipPresence;
}

class Membership implements MembershipDecision {
    readonly #identity: HostIdentity;
    readonly #random: RandomSource;
    readonly #table: MemberTable;
    readonly #writer: HeartbeatWriter;
    readonly #own: Mutable<Omit<PeerStatus, "identity">> = {
        heartbeat: 0,
        leaving: false,
        configurationRevision: 0,
        storeConfirmedMillisecondsAgo: -1,
    };
    #mayAdvertise = true;
    #superseded = false;
    #lastTickMilliseconds: number | undefined;
    #lastHeartbeatMilliseconds = -Infinity;

    constructor(options: MembershipOptions) {
        this.#identity = options.identity;
        this.#random = options.random;
        this.#table = new MemberTable(options.identity);
        this.#writer = new HeartbeatWriter(this.#table, options);
    }

    handle(message: MembershipMessage, nowMilliseconds: number): readonly MembershipEffect[] {
        return match(message)
            .with({ type: "heartbeat-received" }, heartbeat => this.#hear(heartbeat, nowMilliseconds))
            .with({ type: "host-list" }, listing => this.#table.takeHostList(listing, nowMilliseconds))
            .with({ type: "send-failed" }, ({ host }) => this.#noteSendFailure(host, nowMilliseconds))
            .with({ type: "own-state" }, state => this.#takeOwnState(state, nowMilliseconds))
            .with({ type: "leave" }, () => this.#leave(nowMilliseconds))
            .with({ type: "share-now" }, () => this.#heartbeats(nowMilliseconds))
            .with({ type: "tick" }, () => this.#tick(nowMilliseconds))
            .exhaustive();
    }

    livePeers(): HostIdentity[] {
        return this.#staying().map(member => member.identity);
    }

    heardPeers(): HostIdentity[] {
        return this.#table.heard().map(member => member.identity);
    }

    allKnown(): HostIdentity[] {
        return [this.#identity, ...this.#table.all().map(member => member.identity)];
    }

    rankAddresses(place: CallerPlace): HostIdentity[] {
        const others = this.#staying().filter(member => member.advertise).map(member => member.identity);
        const self = this.#advertisesItself() ? [this.#identity] : [];
        return rankByDistance([...self, ...others], place, this.#random);
    }

    pollerOf(engine: string, engineZone: string): string | undefined {
        const self = this.#own.leaving ? [] : [this.#identity];
        return choosePoller(engine, engineZone, [...self, ...this.livePeers()]);
    }

    reachable(host: string): boolean {
        const member = this.#table.get(host);
        if (member === undefined || member.lostAtMilliseconds !== undefined) {
            return host === this.#identity.host;
        }
        const failedAt = member.sendFailedAtMilliseconds;
        return failedAt === undefined || (this.#lastTickMilliseconds ?? failedAt) - failedAt > UNREACHABLE_MILLISECONDS;
    }

    presence(nowMilliseconds: number): MembershipPresence {
        const live = [this.#identity, ...this.livePeers()];
        const listedLive = this.#table.hostList.recentCount(nowMilliseconds);
        return {
            liveInZone: live.filter(({ zone }) => zone === this.#identity.zone).map(({ host }) => host),
            liveInRegion: live.filter(({ region }) => region === this.#identity.region).length,
            ...(listedLive === undefined ? {} : { listedLive }),
        };
    }

    #staying(): Member[] {
        return this.#table.heard().filter(member => !this.#table.isLeaving(member));
    }

    #advertisesItself(): boolean {
        const listedLeaving = this.#table.hostList.isLeaving(this.#identity);
        return this.#mayAdvertise && !this.#own.leaving && !this.#superseded && !listedLeaving;
    }

    #hear(heartbeat: Message<"heartbeat-received">, nowMilliseconds: number): MembershipEffect[] {
        const sender = heartbeat.status.identity;
        const before = this.#table.get(sender.host)?.identity.incarnation;
        const changes = this.#takeAll([heartbeat.status, ...heartbeat.known], nowMilliseconds);
        const isNewcomer = before !== this.#table.get(sender.host)?.identity.incarnation;
        if (heartbeat.progress !== undefined) {
            changes.push(...this.#hearProgress(sender, heartbeat.progress, nowMilliseconds));
        }
        if (!this.#table.usesRumours()) {
            return changes;
        }
        const isUrgent = changes.some(change => change.type === "peer-leaving");
        return [
            ...changes,
            ...(isNewcomer ? [this.#writer.welcome(sender, this.#ownStatus(), nowMilliseconds)] : []),
            ...(isUrgent ? this.#heartbeats(nowMilliseconds) : []),
        ];
    }

    /** Takes counters, asks for identities that they name and that are not known, and answers such a question. */
    #hearProgress(sender: HostIdentity, progress: PeerProgress, nowMilliseconds: number): MembershipEffect[] {
        const index = indexMembers(this.#table.all());
        const changes = this.#takeAll(readProgress(progress, index), nowMilliseconds);
        const own = this.#ownStatus();
        const unknown = unknownHashes(progress, index, this.#identity);
        const wanted = (progress.wanted ?? []).map(hash => index.get(hash)).filter(member => member !== undefined);
        if (unknown.length > 0) {
            changes.push(this.#writer.question(sender, unknown, own, nowMilliseconds));
        }
        if (wanted.length > 0) {
            changes.push(this.#writer.answer(sender, wanted, own, nowMilliseconds));
        }
        return changes;
    }

    #takeAll(statuses: readonly PeerStatus[], nowMilliseconds: number): MembershipEffect[] {
        const own = statuses.filter(({ identity }) => identity.host === this.#identity.host);
        this.#superseded ||= own.some(({ identity }) => identity.incarnation > this.#identity.incarnation);
        return statuses
            .filter(({ identity }) => identity.host !== this.#identity.host)
            .flatMap(status => this.#table.take(status, nowMilliseconds));
    }

    #noteSendFailure(host: string, nowMilliseconds: number): MembershipEffect[] {
        const member = this.#table.get(host);
        if (member !== undefined) {
            member.sendFailedAtMilliseconds = nowMilliseconds;
        }
        return [];
    }

    #takeOwnState(state: Message<"own-state">, nowMilliseconds: number): MembershipEffect[] {
        const rises = state.configurationRevision > this.#own.configurationRevision;
        this.#own.configurationRevision = state.configurationRevision;
        this.#own.storeConfirmedMillisecondsAgo = state.storeConfirmedMillisecondsAgo;
        this.#mayAdvertise = state.advertise;
        return rises ? this.#heartbeats(nowMilliseconds) : [];
    }

    #leave(nowMilliseconds: number): MembershipEffect[] {
        this.#own.leaving = true;
        return this.#heartbeats(nowMilliseconds);
    }

    #tick(nowMilliseconds: number): MembershipEffect[] {
        const gap = nowMilliseconds - (this.#lastTickMilliseconds ?? nowMilliseconds);
        if (gap > OWN_PAUSE_MILLISECONDS) {
            this.#table.forgiveOwnPause(gap, nowMilliseconds);
        }
        this.#lastTickMilliseconds = nowMilliseconds;
        const lost = this.#table.findLost(nowMilliseconds);
        if (nowMilliseconds < this.#lastHeartbeatMilliseconds + HEARTBEAT_INTERVAL_MILLISECONDS) {
            return lost;
        }
        this.#lastHeartbeatMilliseconds = nowMilliseconds;
        this.#table.forgetLongLost(nowMilliseconds);
        return [
            ...lost,
            ...this.#heartbeats(nowMilliseconds),
            ...this.#writer.probes(this.#ownStatus(), nowMilliseconds),
        ];
    }

    /** Sends one heartbeat to each target; every round counts once. */
    #heartbeats(nowMilliseconds: number): MembershipEffect[] {
        this.#own.heartbeat += 1;
        return this.#writer.round(this.#ownStatus(), nowMilliseconds);
    }

    #ownStatus(): PeerStatus {
        return { identity: this.#identity, ...this.#own, advertise: this.#advertisesItself() };
    }
}

/**
 * Creates the membership decision of one host.
 *
 * Every host counts its heartbeats, and hosts pass on the highest counters that they have seen. A host is lost to this
 * one only when its counter stops rising on every path, so a cut between two hosts alone makes neither drop the other.
 *
 * @param options Identity of this host, and its random source.
 * @returns The decision.
 *
 * @example
 * ```ts
 * const membership = createMembershipDecision({ identity, random: createSeededRandom(1) });
 * const effects = membership.handle({ type: "tick" }, 0);
 * ```
 */
export function createMembershipDecision(options: MembershipOptions): MembershipDecision {
    return new Membership(options);
}
