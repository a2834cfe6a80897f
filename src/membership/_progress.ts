/**
 * Counters of many hosts in columns: a sixth of the bytes of their whole statuses.
 *
 * @module
 */
import { type PeerProgress, type PeerStatus } from "../generated/peers.js";
import { type Member, renderStatus } from "./_members.js";

/**
 * Renders the counters of members.
 *
 * @param members Members to tell of.
 * @param nowMilliseconds When they are told.
 */
export function renderProgress(members: readonly Member[], nowMilliseconds: number): PeerProgress {
    const statuses = members.map(member => renderStatus(member, nowMilliseconds));
    return {
        hosts: statuses.map(status => status.identity.host),
        incarnations: statuses.map(status => status.identity.incarnation),
        heartbeats: statuses.map(status => status.heartbeat),
        configurationRevisions: statuses.map(status => status.configurationRevision),
        storeConfirmedMillisecondsAgo: statuses.map(status => status.storeConfirmedMillisecondsAgo),
        leaving: statuses.filter(status => status.leaving).map(status => status.identity.host),
        unadvertised: statuses.filter(status => status.advertise === false).map(status => status.identity.host),
    };
}

/**
 * Reads counters of hosts that are known under the same incarnation; others are left out.
 *
 * @param progress What a peer told.
 * @param members The table, by host name.
 */
export function readProgress(progress: PeerProgress, members: ReadonlyMap<string, Member>): PeerStatus[] {
    const leaving = new Set(progress.leaving);
    const unadvertised = new Set(progress.unadvertised);
    return progress.hosts.flatMap((host, index) => {
        const identity = members.get(host)?.identity;
        const heartbeat = progress.heartbeats[index];
        if (
            identity === undefined || heartbeat === undefined || identity.incarnation !== progress.incarnations[index]
        ) {
            return [];
        }
        return [{
            identity,
            heartbeat,
            leaving: leaving.has(host),
            advertise: !unadvertised.has(host),
            configurationRevision: progress.configurationRevisions[index] ?? 0,
            storeConfirmedMillisecondsAgo: progress.storeConfirmedMillisecondsAgo[index] ?? -1,
        }];
    });
}
