/**
 * The membership decision of one host: tracks peers by heartbeat counters and decides which messages to send them.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Decision, type RandomSource } from "../decision/index.js";
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { HeartbeatBuilder } from "./_heartbeats.js";
import { type Member } from "./_members.js";
import { MemberTable } from "./_memberTable.js";
import { indexMembers, statusesFromProgress, unknownHashes } from "./_progress.js";
import { type CallerLocation, choosePoller, rankByDistance } from "./_ranking.js";
import { type MembershipEffect, type MembershipMessage } from "./messages.js";

const HEARTBEAT_INTERVAL_MILLISECONDS = 1000;
/** How long a failed heartbeat marks a peer as unreachable. */
const SEND_FAILURE_VALID_MILLISECONDS = 2500;
/** A longer gap between two ticks means that this process was paused, not that its peers failed to send. */
const PROCESS_PAUSE_MILLISECONDS = 1500;

type Message<Type extends MembershipMessage["type"]> = Extract<MembershipMessage, { type: Type; }>;
type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key]; };

/** Options of {@linkcode createMembershipDecision}. */
export interface MembershipOptions {
    readonly identity: HostIdentity;
    readonly random: RandomSource;
}

/** Live hosts of the own zone and numbers of live hosts, for the configuration decision's `presence`. */
export interface MembershipPresence {
    /** Live hosts of this host's zone that are not leaving; this host is always included. */
    readonly liveInZone: readonly string[];
    /** Number of live hosts of this host's region that are not leaving, this host included. */
    readonly liveInRegion: number;
    /** Number of live hosts in the platform's list, where it was read within the last 60 s. */
    readonly listedLive?: number;
}

/** The membership decision, with queries for other tasks. */
export interface MembershipDecision extends Decision<MembershipMessage, MembershipEffect> {
    /** Returns the other hosts that are neither lost nor leaving, by name. */
    livePeers(): HostIdentity[];
    /** Returns the other hosts that are not lost, leaving ones included. */
    livePeersIncludingLeaving(): HostIdentity[];
    /** Returns all known hosts, lost ones included, this host first. */
    knownHosts(): HostIdentity[];
    /** Returns the hosts whose addresses a caller may get, nearest first; never one that is leaving. */
    rankAddresses(location: CallerLocation): HostIdentity[];
    /** Returns the name of the host that polls an engine. */
    pollerOf(engine: string, engineZone: string): string | undefined;
    /** Returns whether a host is not lost and this host's heartbeats to it did not fail recently. */
    reachable(host: string): boolean;
    /** Returns the live hosts of the own zone, and how many hosts are live in the region and in the platform's list. */
    presence(nowMilliseconds: number): MembershipPresence;
}

class Membership implements MembershipDecision {
    readonly #identity: HostIdentity;
    readonly #random: RandomSource;
    readonly #table: MemberTable;
    readonly #builder: HeartbeatBuilder;
    readonly #ownState: Mutable<Omit<PeerStatus, "identity">> = {
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
        this.#builder = new HeartbeatBuilder(this.#table, options);
    }

    handle(message: MembershipMessage, nowMilliseconds: number): readonly MembershipEffect[] {
        return match(message)
            .with({ type: "heartbeat-received" }, heartbeat => this.#receiveHeartbeat(heartbeat, nowMilliseconds))
            .with({ type: "host-list" }, listing => this.#table.applyHostList(listing, nowMilliseconds))
            .with({ type: "send-failed" }, ({ host }) => this.#recordSendFailure(host, nowMilliseconds))
            .with({ type: "own-state" }, state => this.#applyOwnState(state, nowMilliseconds))
            .with({ type: "leave" }, () => this.#leave(nowMilliseconds))
            .with({ type: "share-now" }, () => this.#heartbeatRound(nowMilliseconds))
            .with({ type: "tick" }, () => this.#tick(nowMilliseconds))
            .exhaustive();
    }

    livePeers(): HostIdentity[] {
        return this.#liveNotLeaving().map(member => member.identity);
    }

    livePeersIncludingLeaving(): HostIdentity[] {
        return this.#table.liveMembers().map(member => member.identity);
    }

    knownHosts(): HostIdentity[] {
        return [this.#identity, ...this.#table.all().map(member => member.identity)];
    }

    rankAddresses(location: CallerLocation): HostIdentity[] {
        const others = this.#liveNotLeaving().filter(member => member.advertise).map(member => member.identity);
        const self = this.#advertisesItself() ? [this.#identity] : [];
        return rankByDistance([...self, ...others], location, this.#random);
    }

    pollerOf(engine: string, engineZone: string): string | undefined {
        const self = this.#ownState.leaving ? [] : [this.#identity];
        return choosePoller(engine, engineZone, [...self, ...this.livePeers()]);
    }

    reachable(host: string): boolean {
        const member = this.#table.get(host);
        if (member === undefined || member.lostAtMilliseconds !== undefined) {
            return host === this.#identity.host;
        }
        const failedAt = member.sendFailedAtMilliseconds;
        return failedAt === undefined
            || (this.#lastTickMilliseconds ?? failedAt) - failedAt > SEND_FAILURE_VALID_MILLISECONDS;
    }

    presence(nowMilliseconds: number): MembershipPresence {
        const live = [this.#identity, ...this.livePeers()];
        const listedLive = this.#table.hostList.recentLiveCount(nowMilliseconds);
        return {
            liveInZone: live.filter(({ zone }) => zone === this.#identity.zone).map(({ host }) => host),
            liveInRegion: live.filter(({ region }) => region === this.#identity.region).length,
            ...(listedLive === undefined ? {} : { listedLive }),
        };
    }

    #liveNotLeaving(): Member[] {
        return this.#table.liveMembers().filter(member => !this.#table.isLeaving(member));
    }

    #advertisesItself(): boolean {
        const listedLeaving = this.#table.hostList.isLeaving(this.#identity);
        return this.#mayAdvertise && !this.#ownState.leaving && !this.#superseded && !listedLeaving;
    }

    #receiveHeartbeat(heartbeat: Message<"heartbeat-received">, nowMilliseconds: number): MembershipEffect[] {
        const sender = heartbeat.status.identity;
        const previousIncarnation = this.#table.get(sender.host)?.identity.incarnation;
        const changes = this.#applyStatuses([heartbeat.status, ...heartbeat.known], nowMilliseconds);
        const isNewIncarnation = previousIncarnation !== this.#table.get(sender.host)?.identity.incarnation;
        if (heartbeat.progress !== undefined) {
            changes.push(...this.#receiveProgress(sender, heartbeat.progress, nowMilliseconds));
        }
        if (!this.#table.exceedsFullMesh()) {
            return changes;
        }
        const isUrgent = changes.some(change => change.type === "peer-leaving");
        return [
            ...changes,
            ...(isNewIncarnation ? [this.#builder.newMemberReply(sender, this.#ownStatus(), nowMilliseconds)] : []),
            ...(isUrgent ? this.#heartbeatRound(nowMilliseconds) : []),
        ];
    }

    /** Applies counters, requests the identities of unknown hashes, and sends those that the peer requested. */
    #receiveProgress(sender: HostIdentity, progress: PeerProgress, nowMilliseconds: number): MembershipEffect[] {
        const index = indexMembers(this.#table.all());
        const changes = this.#applyStatuses(statusesFromProgress(progress, index), nowMilliseconds);
        const ownStatus = this.#ownStatus();
        const unknown = unknownHashes(progress, index, this.#identity);
        const requested = (progress.wanted ?? []).map(hash => index.get(hash)).filter(member => member !== undefined);
        if (unknown.length > 0) {
            changes.push(this.#builder.identityRequest(sender, unknown, ownStatus, nowMilliseconds));
        }
        if (requested.length > 0) {
            changes.push(this.#builder.identityReply(sender, requested, ownStatus, nowMilliseconds));
        }
        return changes;
    }

    #applyStatuses(statuses: readonly PeerStatus[], nowMilliseconds: number): MembershipEffect[] {
        const ownStatuses = statuses.filter(({ identity }) => identity.host === this.#identity.host);
        this.#superseded ||= ownStatuses.some(({ identity }) => identity.incarnation > this.#identity.incarnation);
        return statuses
            .filter(({ identity }) => identity.host !== this.#identity.host)
            .flatMap(status => this.#table.applyStatus(status, nowMilliseconds));
    }

    #recordSendFailure(host: string, nowMilliseconds: number): MembershipEffect[] {
        const member = this.#table.get(host);
        if (member !== undefined) {
            member.sendFailedAtMilliseconds = nowMilliseconds;
        }
        return [];
    }

    #applyOwnState(state: Message<"own-state">, nowMilliseconds: number): MembershipEffect[] {
        const hasNewRevision = state.configurationRevision > this.#ownState.configurationRevision;
        this.#ownState.configurationRevision = state.configurationRevision;
        this.#ownState.storeConfirmedMillisecondsAgo = state.storeConfirmedMillisecondsAgo;
        this.#mayAdvertise = state.advertise;
        return hasNewRevision ? this.#heartbeatRound(nowMilliseconds) : [];
    }

    #leave(nowMilliseconds: number): MembershipEffect[] {
        this.#ownState.leaving = true;
        return this.#heartbeatRound(nowMilliseconds);
    }

    #tick(nowMilliseconds: number): MembershipEffect[] {
        const gap = nowMilliseconds - (this.#lastTickMilliseconds ?? nowMilliseconds);
        if (gap > PROCESS_PAUSE_MILLISECONDS) {
            this.#table.postponeTimeouts(gap, nowMilliseconds);
        }
        this.#lastTickMilliseconds = nowMilliseconds;
        const lost = this.#table.detectFailures(nowMilliseconds);
        if (nowMilliseconds < this.#lastHeartbeatMilliseconds + HEARTBEAT_INTERVAL_MILLISECONDS) {
            return lost;
        }
        this.#lastHeartbeatMilliseconds = nowMilliseconds;
        this.#table.removeLongLost(nowMilliseconds);
        return [
            ...lost,
            ...this.#heartbeatRound(nowMilliseconds),
            ...this.#builder.probes(this.#ownStatus(), nowMilliseconds),
        ];
    }

    /** Returns one heartbeat for each target; the whole round raises this host's counter by one. */
    #heartbeatRound(nowMilliseconds: number): MembershipEffect[] {
        this.#ownState.heartbeat += 1;
        return this.#builder.heartbeatRound(this.#ownStatus(), nowMilliseconds);
    }

    #ownStatus(): PeerStatus {
        return { identity: this.#identity, ...this.#ownState, advertise: this.#advertisesItself() };
    }
}

/**
 * Creates the membership decision of one host.
 *
 * Every host counts its heartbeats, and hosts forward the highest counters that they have received. A host is lost to
 * this one only when its counter stops rising on every path, so a partition between two hosts alone makes neither drop
 * the other.
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
