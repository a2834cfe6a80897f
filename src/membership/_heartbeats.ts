/**
 * Builds the messages that one host sends to others.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { selectDigestMembers } from "./_digestMembers.js";
import { chooseHeartbeatTargets, sample } from "./_fanOut.js";
import { type Member, renderStatus } from "./_members.js";
import { type MemberTable } from "./_memberTable.js";
import { renderProgress } from "./_progress.js";
import { type MembershipEffect } from "./messages.js";

/** Lost or not yet known hosts that get a heartbeat with each round, in a full mesh. */
const PROBES_PER_ROUND = 3;
const PROBES_PER_ROUND_BEYOND_FULL_MESH = 1;
/** Limit of the columns in the schema of digests. */
const MAXIMUM_COUNTERS = 512;
/** Maximum number of identities that one message requests or contains. */
const MAXIMUM_REQUESTED_IDENTITIES = 64;

type Target = Pick<HostIdentity, "host" | "peersUrl">;

/** Contents of one message. */
interface MessageParts {
    readonly ownStatus: PeerStatus;
    /** Members sent with their identities and full status. */
    readonly fullStatus: readonly Member[];
    /** Members sent as counters without identities. */
    readonly progress?: PeerProgress;
}

/** Options of a builder. */
export interface HeartbeatBuilderOptions {
    readonly identity: HostIdentity;
    readonly random: RandomSource;
}

/** Builds heartbeats, and requests and replies for identities. */
export class HeartbeatBuilder {
    readonly #table: MemberTable;
    readonly #identity: HostIdentity;
    readonly #random: RandomSource;

    constructor(table: MemberTable, options: HeartbeatBuilderOptions) {
        this.#table = table;
        this.#identity = options.identity;
        this.#random = options.random;
    }

    /** Returns one heartbeat for each target of a round. */
    heartbeatRound(ownStatus: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        const live = this.#table.liveMembers().map(member => member.identity);
        return chooseHeartbeatTargets(this.#identity, live, this.#random)
            .map(target => this.#createHeartbeat(target, ownStatus, nowMilliseconds));
    }

    /** Returns heartbeats to a few hosts that are lost, or listed by the platform and not known yet. */
    probes(ownStatus: PeerStatus, nowMilliseconds: number): MembershipEffect[] {
        const lost = this.#table.all().filter(member => member.lostAtMilliseconds !== undefined)
            .map(member => member.identity);
        const unknown = this.#table.hostList.liveHosts()
            .filter(({ host }) => host !== this.#identity.host && this.#table.get(host) === undefined);
        const count = this.#table.exceedsFullMesh() ? PROBES_PER_ROUND_BEYOND_FULL_MESH : PROBES_PER_ROUND;
        return sample([...lost, ...unknown], count, this.#random)
            .map(target => this.#createHeartbeat(target, ownStatus, nowMilliseconds));
    }

    /** Sends a new member the counters of all live hosts; it then requests the identities that it does not know. */
    newMemberReply(newMember: Target, ownStatus: PeerStatus, nowMilliseconds: number): MembershipEffect {
        const others = this.#table.liveMembers().filter(member => member.identity.host !== newMember.host);
        const progress = renderProgress(others.slice(0, MAXIMUM_COUNTERS), nowMilliseconds);
        return this.#createReply(newMember, { ownStatus, fullStatus: [], progress }, nowMilliseconds);
    }

    /** Requests the identities that belong to hashes. */
    identityRequest(
        target: Target,
        hashes: readonly number[],
        ownStatus: PeerStatus,
        nowMilliseconds: number,
    ): MembershipEffect {
        const progress = {
            ...renderProgress([], nowMilliseconds),
            wanted: hashes.slice(0, MAXIMUM_REQUESTED_IDENTITIES),
        };
        return this.#createReply(target, { ownStatus, fullStatus: [], progress }, nowMilliseconds);
    }

    /** Sends the identities that a peer requested. */
    identityReply(
        target: Target,
        requested: readonly Member[],
        ownStatus: PeerStatus,
        nowMilliseconds: number,
    ): MembershipEffect {
        return this.#createReply(
            target,
            { ownStatus, fullStatus: requested.slice(0, MAXIMUM_REQUESTED_IDENTITIES) },
            nowMilliseconds,
        );
    }

    #createHeartbeat(target: Target, ownStatus: PeerStatus, nowMilliseconds: number): MembershipEffect {
        const members = this.#table.all().filter(member => member.identity.host !== target.host);
        const { fullStatus, countersOnly } = selectDigestMembers(members, this.#identity, this.#random);
        const progress = countersOnly.length === 0 ? {} : { progress: renderProgress(countersOnly, nowMilliseconds) };
        return {
            type: "send-heartbeat",
            ...this.#createMessage(target, { ownStatus, fullStatus, ...progress }, nowMilliseconds),
        };
    }

    #createReply(target: Target, parts: MessageParts, nowMilliseconds: number): MembershipEffect {
        return { type: "send-reply", ...this.#createMessage(target, parts, nowMilliseconds) };
    }

    #createMessage(target: Target, parts: MessageParts, nowMilliseconds: number) {
        return {
            host: target.host,
            peersUrl: target.peersUrl,
            status: parts.ownStatus,
            known: parts.fullStatus.map(member => renderStatus(member, nowMilliseconds)),
            ...(parts.progress === undefined ? {} : { progress: parts.progress }),
        };
    }
}
