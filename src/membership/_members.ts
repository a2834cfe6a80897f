/**
 * The table of hosts that one host knows, and how a status changes it.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { type HostIdentity, type PeerStatus } from "../generated/peers.js";

const NEVER_CONFIRMED = -1;

/** Digests in which a change of a member is repeated before it counts as spread. */
const NEWS_REPEATS = 12;
/** The same for a host that joined; whoever meets its counter without knowing it asks for its identity. */
const NEWCOMER_REPEATS = 2;

/** What this host knows of one other host. */
export interface Member {
    readonly identity: HostIdentity;
    /** Stands for host and incarnation in columns of counters. */
    readonly identityHash: number;
    /** Highest counter seen of this incarnation. */
    heartbeat: number;
    leaving: boolean;
    advertise: boolean;
    configurationRevision: number;
    storeConfirmedAtMilliseconds: number | undefined;
    /** When the counter last rose. */
    progressedAtMilliseconds: number;
    lostAtMilliseconds: number | undefined;
    /** True where the host's own zone found the loss, so that it may be told to others. */
    lossIsZonesOwn: boolean;
    sendFailedAtMilliseconds: number | undefined;
    /** Digests that still have to carry the latest change of this member. */
    newsLeft: number;
}

/** What a status changed. */
export type MemberChange =
    | { readonly type: "none"; }
    | { readonly type: "progressed"; readonly member: Member; }
    | { readonly type: "joined"; readonly member: Member; }
    | { readonly type: "replaced"; readonly member: Member; readonly before: HostIdentity; readonly wasLost: boolean; }
    | { readonly type: "returned"; readonly member: Member; }
    | { readonly type: "began-leaving"; readonly member: Member; };

/**
 * Hashes host and incarnation.
 *
 * @param identity The identity.
 */
export function hashIdentity(identity: HostIdentity): number {
    return hashText(`${identity.host}/${identity.incarnation}`);
}

function confirmedAt(status: PeerStatus, nowMilliseconds: number): number | undefined {
    const ago = status.storeConfirmedMillisecondsAgo;
    return ago === NEVER_CONFIRMED ? undefined : nowMilliseconds - ago;
}

function createMember(status: PeerStatus, nowMilliseconds: number): Member {
    return {
        identity: status.identity,
        identityHash: hashIdentity(status.identity),
        heartbeat: status.heartbeat,
        leaving: status.leaving,
        advertise: status.advertise ?? true,
        configurationRevision: status.configurationRevision,
        storeConfirmedAtMilliseconds: confirmedAt(status, nowMilliseconds),
        progressedAtMilliseconds: nowMilliseconds,
        lostAtMilliseconds: undefined,
        lossIsZonesOwn: false,
        sendFailedAtMilliseconds: undefined,
        newsLeft: NEWCOMER_REPEATS,
    };
}

function updateMember(member: Member, status: PeerStatus, nowMilliseconds: number): void {
    const leaving = member.leaving || status.leaving;
    const changed = leaving !== member.leaving || status.configurationRevision > member.configurationRevision;
    member.heartbeat = status.heartbeat;
    member.leaving = leaving;
    member.advertise = status.advertise ?? true;
    member.configurationRevision = Math.max(member.configurationRevision, status.configurationRevision);
    member.storeConfirmedAtMilliseconds = confirmedAt(status, nowMilliseconds);
    member.progressedAtMilliseconds = nowMilliseconds;
    if (changed) {
        member.newsLeft = NEWS_REPEATS;
    }
}

/**
 * Takes a status into the table; a counter or an incarnation that is not newer changes nothing.
 *
 * @param members The table, by host name.
 * @param status What a host said of itself, heard directly or through another host.
 * @param nowMilliseconds When it was heard.
 */
export function mergeStatus(members: Map<string, Member>, status: PeerStatus, nowMilliseconds: number): MemberChange {
    const member = members.get(status.identity.host);
    if (member === undefined) {
        const joined = createMember(status, nowMilliseconds);
        members.set(status.identity.host, joined);
        return { type: "joined", member: joined };
    }
    if (status.identity.incarnation < member.identity.incarnation) {
        return { type: "none" };
    }
    if (status.identity.incarnation > member.identity.incarnation) {
        const successor = createMember(status, nowMilliseconds);
        members.set(status.identity.host, successor);
        return {
            type: "replaced",
            member: successor,
            before: member.identity,
            wasLost: member.lostAtMilliseconds !== undefined,
        };
    }
    if (status.heartbeat <= member.heartbeat) {
        return noteLeaving(member, status);
    }
    return progress(member, status, nowMilliseconds);
}

/** Takes the notice to leave from a status that is otherwise old: an incarnation that leaves never stays again. */
function noteLeaving(member: Member, status: PeerStatus): MemberChange {
    if (member.leaving || !status.leaving) {
        return { type: "none" };
    }
    member.leaving = true;
    member.newsLeft = NEWS_REPEATS;
    return { type: "began-leaving", member };
}

function progress(member: Member, status: PeerStatus, nowMilliseconds: number): MemberChange {
    const wasLeaving = member.leaving;
    const wasLost = member.lostAtMilliseconds !== undefined;
    updateMember(member, status, nowMilliseconds);
    member.lostAtMilliseconds = undefined;
    if (wasLost) {
        member.newsLeft = NEWS_REPEATS;
        return { type: "returned", member };
    }
    return member.leaving && !wasLeaving ? { type: "began-leaving", member } : { type: "progressed", member };
}

/**
 * Marks a member as lost, which is news for other zones where its own zone found it.
 *
 * @param member The member that was silent for too long.
 * @param lossIsZonesOwn Whether the member's own zone found the loss.
 * @param nowMilliseconds When that was found.
 */
export function markLost(member: Member, lossIsZonesOwn: boolean, nowMilliseconds: number): void {
    member.lostAtMilliseconds = nowMilliseconds;
    member.lossIsZonesOwn = lossIsZonesOwn;
    member.newsLeft = lossIsZonesOwn ? NEWS_REPEATS : 0;
}

/**
 * Gives the age of a member's latest confirmation by the key-value service, as statuses tell it.
 *
 * @param member The member.
 * @param nowMilliseconds Up to when the age counts.
 */
export function readConfirmedAgo(member: Member, nowMilliseconds: number): number {
    const confirmed = member.storeConfirmedAtMilliseconds;
    return confirmed === undefined ? NEVER_CONFIRMED : Math.max(0, Math.round(nowMilliseconds - confirmed));
}

/**
 * Renders what this host knows of a member, with ages counted up to now.
 *
 * @param member The member to tell of.
 * @param nowMilliseconds When it is told.
 */
export function renderStatus(member: Member, nowMilliseconds: number): PeerStatus {
    return {
        identity: member.identity,
        heartbeat: member.heartbeat,
        leaving: member.leaving,
        configurationRevision: member.configurationRevision,
        storeConfirmedMillisecondsAgo: readConfirmedAgo(member, nowMilliseconds),
        advertise: member.advertise,
        ...(member.lostAtMilliseconds === undefined ? {} : { lost: true }),
    };
}
