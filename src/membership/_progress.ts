/**
 * Encodes counters of many hosts in columns, which takes far fewer bytes than their full statuses.
 *
 * @module
 */
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { hashIdentity, type Member, storeConfirmationAgeMilliseconds } from "./_members.js";

/**
 * Returns the counters of members in columns.
 *
 * @param members Members to include.
 * @param nowMilliseconds When the message is built.
 */
export function renderProgress(members: readonly Member[], nowMilliseconds: number): PeerProgress {
    const hashesOf = (subset: readonly Member[]) => subset.map(member => member.identityHash);
    return {
        identityHashes: hashesOf(members),
        heartbeats: members.map(member => member.heartbeat),
        configurationRevisions: members.map(member => member.configurationRevision),
        storeConfirmedMillisecondsAgo: members.map(member => storeConfirmationAgeMilliseconds(member, nowMilliseconds)),
        leaving: hashesOf(members.filter(member => member.leaving)),
        unadvertised: hashesOf(members.filter(member => !member.advertise)),
    };
}

/** Members by identity hash; `undefined` for a hash that two members share. */
export type MemberIndex = ReadonlyMap<number, Member | undefined>;

/**
 * Indexes members by the hashes of their identities.
 *
 * @param members All known members.
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
 * Returns the statuses that received counters update. Hashes of unknown incarnations, and those that two members share,
 * are skipped.
 *
 * @param progress Counters received from a peer.
 * @param index The known members, by hash.
 */
export function statusesFromProgress(progress: PeerProgress, index: MemberIndex): PeerStatus[] {
    const leaving = new Set(progress.leaving);
    const unadvertised = new Set(progress.unadvertised);
    return progress.identityHashes.flatMap((hash, position) => {
        const member = index.get(hash);
        const heartbeat = progress.heartbeats[position];
        if (member === undefined || heartbeat === undefined) {
            return [];
        }
        const isLeaving = leaving.has(hash);
        if (heartbeat <= member.heartbeat && isLeaving === member.leaving) {
            return [];
        }
        return [{
            identity: member.identity,
            heartbeat,
            leaving: isLeaving,
            advertise: !unadvertised.has(hash),
            configurationRevision: progress.configurationRevisions[position] ?? 0,
            storeConfirmedMillisecondsAgo: progress.storeConfirmedMillisecondsAgo[position] ?? -1,
        }];
    });
}

/**
 * Returns the received hashes that belong to no known host.
 *
 * @param progress Counters received from a peer.
 * @param index The known members, by hash.
 * @param self This host.
 */
export function unknownHashes(progress: PeerProgress, index: MemberIndex, self: HostIdentity): number[] {
    const ownHash = hashIdentity(self);
    return progress.identityHashes.filter(hash => hash !== ownHash && !index.has(hash));
}
