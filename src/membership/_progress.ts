/**
 * Counters of many hosts in columns: a small part of the bytes of their whole statuses.
 *
 * @module
 */
import { hashText } from "../decision/index.js";
import { type HostIdentity, type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { type Member, renderStatus } from "./_members.js";

function hashIdentity(identity: HostIdentity): number {
    return hashText(`${identity.host}/${identity.incarnation}`);
}

/**
 * Renders the counters of members.
 *
 * @param members Members to tell of.
 * @param nowMilliseconds When they are told.
 */
export function renderProgress(members: readonly Member[], nowMilliseconds: number): PeerProgress {
    const statuses = members.map(member => renderStatus(member, nowMilliseconds));
    const hashes = (some: readonly PeerStatus[]) => some.map(status => hashIdentity(status.identity));
    return {
        identityHashes: hashes(statuses),
        heartbeats: statuses.map(status => status.heartbeat),
        configurationRevisions: statuses.map(status => status.configurationRevision),
        storeConfirmedMillisecondsAgo: statuses.map(status => status.storeConfirmedMillisecondsAgo),
        leaving: hashes(statuses.filter(status => status.leaving)),
        unadvertised: hashes(statuses.filter(status => status.advertise === false)),
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
        const hash = hashIdentity(member.identity);
        index.set(hash, index.has(hash) ? undefined : member);
    }
    return index;
}

/**
 * Reads counters of hosts that are known under the same incarnation; others are left out.
 *
 * @param progress What a peer told.
 * @param index The members that are known.
 */
export function readProgress(progress: PeerProgress, index: MemberIndex): PeerStatus[] {
    const leaving = new Set(progress.leaving);
    const unadvertised = new Set(progress.unadvertised);
    return progress.identityHashes.flatMap((hash, position) => {
        const identity = index.get(hash)?.identity;
        const heartbeat = progress.heartbeats[position];
        if (identity === undefined || heartbeat === undefined) {
            return [];
        }
        return [{
            identity,
            heartbeat,
            leaving: leaving.has(hash),
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
