/**
 * Tracks the processes of other hosts, as far as this one knows them.
 *
 * @module
 */
import { type HostIdentity } from "../generated/peers.js";
import { isSameProcess, type ProcessName } from "./orderKey.js";

/** Live processes, and those that were lost recently. */
export interface Peers {
    update(identities: readonly HostIdentity[], nowMilliseconds: number): void;
    find(name: ProcessName): HostIdentity | undefined;
    /** Returns whether the process is or was live. */
    wasKnown(name: ProcessName): boolean;
    readonly live: readonly HostIdentity[];
    /** Live processes, and lost ones whose host has no newer process: they may be paused and continue. */
    readonly possiblyLive: readonly HostIdentity[];
    /** Since this time every live process is known here, and none was lost. */
    readonly stableSinceMilliseconds: number;
    dropExpired(nowMilliseconds: number): void;
    /** Records the start of this process, from which peers discover each other. */
    start(nowMilliseconds: number): void;
}

/** Options of the peers. */
export interface PeersOptions {
    readonly identity: ProcessName;
    /** Time from a process's start until it knows all others and they know it. */
    readonly peerDiscoveryMilliseconds: number;
    /** How long a lost process is treated as possibly live. */
    readonly lostRetentionMilliseconds: number;
}

/** Creates an empty set of peers. */
export function createPeers(options: PeersOptions): Peers {
    const lost = new Map<string, { readonly identity: HostIdentity; readonly atMilliseconds: number; }>();
    /** Time at which each process was last listed as live, by incarnation. */
    const lastLiveAtMilliseconds = new Map<string, number>();
    let liveByIncarnation: ReadonlyMap<string, HostIdentity> = new Map();
    let live: readonly HostIdentity[] = [];
    let stableSinceMilliseconds = 0;

    function update(identities: readonly HostIdentity[], nowMilliseconds: number): void {
        const others = identities.filter(({ host }) => host !== options.identity.host);
        for (const identity of live) {
            if (!others.some(other => isSameProcess(other, identity))) {
                lost.set(identity.incarnation, { identity, atMilliseconds: nowMilliseconds });
                stableSinceMilliseconds = Math.max(stableSinceMilliseconds, nowMilliseconds);
            }
        }
        for (const [incarnation, { identity }] of lost) {
            if (others.some(({ host }) => host === identity.host)) {
                lost.delete(incarnation);
            }
        }
        live = others;
        liveByIncarnation = new Map(others.map(identity => [identity.incarnation, identity]));
        for (const { incarnation } of live) {
            lastLiveAtMilliseconds.set(incarnation, nowMilliseconds);
        }
    }

    function find(name: ProcessName): HostIdentity | undefined {
        const found = liveByIncarnation.get(name.incarnation);
        return found?.host === name.host ? found : undefined;
    }

    function dropExpired(nowMilliseconds: number): void {
        for (const [incarnation, atMilliseconds] of lastLiveAtMilliseconds) {
            if (
                !liveByIncarnation.has(incarnation)
                && atMilliseconds + options.lostRetentionMilliseconds <= nowMilliseconds
            ) {
                lastLiveAtMilliseconds.delete(incarnation);
            }
        }
        for (const [incarnation, { atMilliseconds }] of lost) {
            if (atMilliseconds + options.lostRetentionMilliseconds <= nowMilliseconds) {
                lost.delete(incarnation);
            }
        }
    }

    return {
        update,
        dropExpired,
        wasKnown: ({ incarnation }) => lastLiveAtMilliseconds.has(incarnation),
        start: nowMilliseconds => void (stableSinceMilliseconds = nowMilliseconds + options.peerDiscoveryMilliseconds),
        find,
        get live() {
            return live;
        },
        get possiblyLive() {
            return [...live, ...[...lost.values()].map(({ identity }) => identity)];
        },
        get stableSinceMilliseconds() {
            return stableSinceMilliseconds;
        },
    };
}
