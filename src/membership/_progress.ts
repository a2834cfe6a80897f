/**
 * Counters of many hosts in columns: a small part of the bytes of their whole statuses.
 *
 * @module
 */
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { hashIdentity, type Member, readConfirmedAgo } from "./_members.js";

/**
 * Renders the counters of members.
 *
 * @param members Members to tell of.
 * @param nowMilliseconds When they are told.
 */
export function renderProgress(members: readonly Member[], nowMilliseconds: number): PeerProgress {
    const hashes = (some: readonly Member[]) => some.map(member => member.identityHash);
    return {
        identityHashes: hashes(members),
        heartbeats: members.map(member => member.heartbeat),
        configurationRevisions: members.map(member => member.configurationRevision),
        storeConfirmedMillisecondsAgo: members.map(member => readConfirmedAgo(member, nowMilliseconds)),
        leaving: hashes(members.filter(member => member.leaving)),
        unadvertised: hashes(members.filter(member => !member.advertise)),
    };
}

/** Members by hash; a hash that two share is `undefined`. */
export type MemberIndex = ReadonlyMap<number, Member | undefined>;

/**
 * Indexes members by the hashes of their identities.
 *
 * @param members The members that are known.
 */
export function indexMembers(members: readonly Member[]): MemberIndex {
    const index = new Map<number, Member | undefined>();
    for (const member of members) {
        const hash = member.identityHash;
        index.set(hash, index.has(hash) ? undefined : member);
    }
    return index;
}

/**
 * Reads what counters tell anew of hosts that are known under the same incarnation.
 *
 * @param progress What a peer told.
 * @param index The members that are known.
 */
export function readProgress(progress: PeerProgress, index: MemberIndex): PeerStatus[] {
    const leaving = new Set(progress.leaving);
    const unadvertised = new Set(progress.unadvertised);
    return progress.identityHashes.flatMap((hash, position) => {
        const member = index.get(hash);
        const heartbeat = progress.heartbeats[position];
        if (member === undefined || heartbeat === undefined) {
            return [];
        }
        const leaves = leaving.has(hash);
        if (heartbeat <= member.heartbeat && leaves === member.leaving) {
            return [];
        }
        return [{
            identity: member.identity,
            heartbeat,
            leaving: leaves,
            advertise: !unadvertised.has(hash),
            configurationRevision: progress.configurationRevisions[position] ?? 0,
            storeConfirmedMillisecondsAgo: progress.storeConfirmedMillisecondsAgo[position] ?? -1,
        }];
    });
}

/**
 * Gives hashes of hosts that a peer told of and that are not known here.
 *
 * @param progress What the peer told.
 * @param index The members that are known.
 * @param self This host.
 */
export function unknownHashes(progress: PeerProgress, index: MemberIndex, self: HostIdentity): number[] {
    const own = hashIdentity(self);
    return progress.identityHashes.filter(hash => hash !== own && !index.has(hash));
}
