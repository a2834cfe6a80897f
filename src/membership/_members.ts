/**
 * State that one host keeps of each other host, and how received statuses change it.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { type HostIdentity, type PeerStatus } from "../generated/peers.js";

const NEVER_CONFIRMED = -1;

/** Digests that carry a change of a member; after that many it counts as spread to all hosts. */
const CHANGE_REPEATS = 12;
/** The same for a host that joined; fewer, since a host that gets an unknown counter requests the identity. */
const JOIN_REPEATS = 2;

/** State of one other host. */
export interface Member {
    readonly identity: HostIdentity;
    /** Identifies host and incarnation in columns of counters. */
    readonly identityHash: number;
    /** Highest heartbeat counter received for this incarnation. */
    heartbeat: number;
    leaving: boolean;
    advertise: boolean;
    configurationRevision: number;
    storeConfirmedAtMilliseconds: number | undefined;
    /** When the counter last rose. */
    progressedAtMilliseconds: number;
    lostAtMilliseconds: number | undefined;
    /** True where the host's own zone detected the loss, so that this host publishes it. */
    lossDetectedByItsZone: boolean;
    sendFailedAtMilliseconds: number | undefined;
    /** Number of further digests that carry the latest change of this member. */
    remainingRepeats: number;
}

/** Change that a status made to the table. */
export type MemberChange =
    | { readonly type: "none"; }
    | { readonly type: "progressed"; readonly member: Member; }
    | { readonly type: "joined"; readonly member: Member; }
    | {
        readonly type: "replaced";
        readonly member: Member;
        readonly previousIdentity: HostIdentity;
        readonly wasLost: boolean;
    }
    | { readonly type: "returned"; readonly member: Member; }
    | { readonly type: "began-leaving"; readonly member: Member; };

/**
 * Returns a hash of host and incarnation.
 *
 * @param identity The identity.
 */
export function hashIdentity(identity: HostIdentity): number {
    return hashText(`${identity.host}/${identity.incarnation}`);
}

function storeConfirmedAtMilliseconds(status: PeerStatus, nowMilliseconds: number): number | undefined {
    const ageMilliseconds = status.storeConfirmedMillisecondsAgo;
    return ageMilliseconds === NEVER_CONFIRMED ? undefined : nowMilliseconds - ageMilliseconds;
}

function createMember(status: PeerStatus, nowMilliseconds: number): Member {
    return {
        identity: status.identity,
        identityHash: hashIdentity(status.identity),
        heartbeat: status.heartbeat,
        leaving: status.leaving,
        advertise: status.advertise ?? true,
        configurationRevision: status.configurationRevision,
        storeConfirmedAtMilliseconds: storeConfirmedAtMilliseconds(status, nowMilliseconds),
        progressedAtMilliseconds: nowMilliseconds,
        lostAtMilliseconds: undefined,
        lossDetectedByItsZone: false,
        sendFailedAtMilliseconds: undefined,
        remainingRepeats: JOIN_REPEATS,
    };
}

function updateMember(member: Member, status: PeerStatus, nowMilliseconds: number): void {
    const leaving = member.leaving || status.leaving;
    const changed = leaving !== member.leaving || status.configurationRevision > member.configurationRevision;
    member.heartbeat = status.heartbeat;
    member.leaving = leaving;
    member.advertise = status.advertise ?? true;
    member.configurationRevision = Math.max(member.configurationRevision, status.configurationRevision);
    member.storeConfirmedAtMilliseconds = storeConfirmedAtMilliseconds(status, nowMilliseconds);
    member.progressedAtMilliseconds = nowMilliseconds;
    if (changed) {
        member.remainingRepeats = CHANGE_REPEATS;
    }
}

/**
 * Applies a status to the table. An older incarnation is ignored; of a status whose counter is not higher, only the
 * start of leaving is recorded.
 *
 * @param members The table, by host name.
 * @param status Status of a host, received from it or forwarded by another host.
 * @param nowMilliseconds When it was received.
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
            previousIdentity: member.identity,
            wasLost: member.lostAtMilliseconds !== undefined,
        };
    }
    if (status.heartbeat <= member.heartbeat) {
        return recordLeaving(member, status);
    }
    return applyProgress(member, status, nowMilliseconds);
}

/** Records that a host is leaving, also from an old status, since an incarnation never cancels its leaving. */
function recordLeaving(member: Member, status: PeerStatus): MemberChange {
    if (member.leaving || !status.leaving) {
        return { type: "none" };
    }
    member.leaving = true;
    member.remainingRepeats = CHANGE_REPEATS;
    return { type: "began-leaving", member };
}

function applyProgress(member: Member, status: PeerStatus, nowMilliseconds: number): MemberChange {
    const wasLeaving = member.leaving;
    const wasLost = member.lostAtMilliseconds !== undefined;
    updateMember(member, status, nowMilliseconds);
    member.lostAtMilliseconds = undefined;
    if (wasLost) {
        member.remainingRepeats = CHANGE_REPEATS;
        return { type: "returned", member };
    }
    return member.leaving && !wasLeaving ? { type: "began-leaving", member } : { type: "progressed", member };
}

/**
 * Marks a member as lost. Digests publish the loss only where the member's own zone detected it.
 *
 * @param member The member whose failure timeout has passed.
 * @param detectedByItsZone Whether the member's own zone detected the loss.
 * @param nowMilliseconds When the loss was detected or reported.
 */
export function markLost(member: Member, detectedByItsZone: boolean, nowMilliseconds: number): void {
    member.lostAtMilliseconds = nowMilliseconds;
    member.lossDetectedByItsZone = detectedByItsZone;
    member.remainingRepeats = detectedByItsZone ? CHANGE_REPEATS : 0;
}

/**
 * Returns the age of a member's latest confirmation by the key-value service, in the form that statuses have.
 *
 * @param member The member.
 * @param nowMilliseconds The current time.
 * @returns The age; -1 where there was no confirmation.
 */
export function storeConfirmationAgeMilliseconds(member: Member, nowMilliseconds: number): number {
    const confirmedAt = member.storeConfirmedAtMilliseconds;
    return confirmedAt === undefined ? NEVER_CONFIRMED : Math.max(0, Math.round(nowMilliseconds - confirmedAt));
}

/**
 * Returns a member's status for a message, with its age updated to the current time.
 *
 * @param member The member.
 * @param nowMilliseconds When the message is built.
 */
export function renderStatus(member: Member, nowMilliseconds: number): PeerStatus {
    return {
        identity: member.identity,
        heartbeat: member.heartbeat,
        leaving: member.leaving,
        configurationRevision: member.configurationRevision,
        storeConfirmedMillisecondsAgo: storeConfirmationAgeMilliseconds(member, nowMilliseconds),
        advertise: member.advertise,
        ...(member.lostAtMilliseconds === undefined ? {} : { lost: true }),
    };
}
