/**
 * The other processes that this one knows.
 *
 * @module
 */
import { type HostIdentity } from "../generated/peers.js";
import { isSameProcess, type ProcessName } from "./orderKey.js";

/** Live processes, and those that were lost. */
export interface Peers {
    change(identities: readonly HostIdentity[], nowMilliseconds: number): void;
    find(name: ProcessName): HostIdentity | undefined;
    /** Tells whether the process is or was among the live ones. */
    wasKnown(name: ProcessName): boolean;
    readonly live: readonly HostIdentity[];
    /** Live processes, and lost ones that no other process of their host has replaced: they may be paused. */
    readonly possiblyLive: readonly HostIdentity[];
    /** Since when every process that was lost is known to be lost. */
    readonly knownSinceMilliseconds: number;
    forget(nowMilliseconds: number): void;
    /** Sets the time from which peers begin to learn of each other. */
    start(nowMilliseconds: number): void;
}

/** Options of the peers. */
export interface PeersOptions {
    readonly identity: ProcessName;
    /** How long after its start a process knows all others, and they know it. */
    readonly settleMilliseconds: number;
    /** How long a lost process is taken for possibly alive. */
    readonly lostMilliseconds: number;
}

/** Creates an empty set of peers. */
export function createPeers(options: PeersOptions): Peers {
    const lost = new Map<string, { readonly identity: HostIdentity; readonly atMilliseconds: number; }>();
    /** When each process was last among the live ones, by incarnation. */
    const heard = new Map<string, number>();
    let liveByIncarnation: ReadonlyMap<string, HostIdentity> = new Map();
    let live: readonly HostIdentity[] = [];
    let knownSinceMilliseconds = 0;

    function change(identities: readonly HostIdentity[], nowMilliseconds: number): void {
        const others = identities.filter(({ host }) => host !== options.identity.host);
        for (const identity of live) {
            if (!others.some(other => isSameProcess(other, identity))) {
                lost.set(identity.incarnation, { identity, atMilliseconds: nowMilliseconds });
                knownSinceMilliseconds = Math.max(knownSinceMilliseconds, nowMilliseconds);
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
            heard.set(incarnation, nowMilliseconds);
        }
    }

    function find(name: ProcessName): HostIdentity | undefined {
        const found = liveByIncarnation.get(name.incarnation);
        return found?.host === name.host ? found : undefined;
    }

    function forget(nowMilliseconds: number): void {
        for (const [incarnation, atMilliseconds] of heard) {
            if (!liveByIncarnation.has(incarnation) && atMilliseconds + options.lostMilliseconds <= nowMilliseconds) {
                heard.delete(incarnation);
            }
        }
        for (const [incarnation, { atMilliseconds }] of lost) {
            if (atMilliseconds + options.lostMilliseconds <= nowMilliseconds) {
                lost.delete(incarnation);
            }
        }
    }

    return {
        change,
        forget,
        wasKnown: ({ incarnation }) => heard.has(incarnation),
        start: nowMilliseconds => void (knownSinceMilliseconds = nowMilliseconds + options.settleMilliseconds),
        find,
        get live() {
            return live;
        },
        get possiblyLive() {
            return [...live, ...[...lost.values()].map(({ identity }) => identity)];
        },
        get knownSinceMilliseconds() {
            return knownSinceMilliseconds;
        },
    };
}
