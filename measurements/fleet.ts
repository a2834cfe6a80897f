/**
 * Simulates the membership and configuration decisions of many hosts in one process, with a seeded clock and a network
 * with faults.
 *
 * @module
 */
import { type ConfigurationEffect, type ConfigurationMessage } from "../src/configuration/index.js";
import { createSeededRandom, type RandomSource } from "../src/decision/index.js";
import { type ConfigurationRecord } from "../src/generated/platform.js";
import { type MembershipEffect, type MembershipMessage } from "../src/membership/index.js";
import { EventScheduler } from "./_eventScheduler.js";
import { createFleetHost, type FleetHost, SOCKET_DELAY_AFTER_PAUSE_MILLISECONDS } from "./_fleetHost.js";
import { Network } from "./_network.js";

const TICK_MILLISECONDS = 250;
const HOST_LIST_INTERVAL_MILLISECONDS = 2000;
const PLATFORM_DELAY_MILLISECONDS = 4;

export { type FleetHost } from "./_fleetHost.js";

type HeartbeatEffect = Extract<MembershipEffect, { type: "send-heartbeat" | "send-reply"; }>;

/** Options of a simulated fleet. */
export interface FleetOptions {
    readonly seed: number;
    readonly hosts: number;
    readonly zones: number;
    readonly regions?: number;
    /** Called with each heartbeat that a host sends. */
    readonly onHeartbeat?: (from: string, effect: HeartbeatEffect) => void;
}

/** Simulates hosts, their network, and a key-value service that can fail. */
export class Fleet {
    readonly random: RandomSource;
    readonly network: Network;
    readonly hosts = new Map<string, FleetHost>();
    readonly #options: FleetOptions;
    readonly #scheduler = new EventScheduler();
    #incarnations = 0;
    /** Configuration record stored in the key-value service. */
    record: ConfigurationRecord | undefined;
    storeOutage = false;
    /** Reads of the key-value service so far. */
    storeReads = 0;

    constructor(options: FleetOptions) {
        this.#options = options;
        this.random = createSeededRandom(options.seed);
        this.network = new Network(this.random);
        for (let index = 0; index < options.hosts; index += 1) {
            this.start(`host-${String(index).padStart(3, "0")}`);
        }
    }

    get nowMilliseconds(): number {
        return this.#scheduler.nowMilliseconds;
    }

    /** Returns the running processes. */
    running(): FleetHost[] {
        return [...this.hosts.values()].filter(host => host.alive);
    }

    get(name: string): FleetHost {
        const host = this.hosts.get(name);
        if (host === undefined) {
            throw new Error(`no host ${name}`);
        }
        return host;
    }

    /** Starts a process of a host; kills a running process of that name first. */
    start(name: string): void {
        this.kill(name);
        this.#incarnations += 1;
        const host = createFleetHost(name, this.#incarnations, {
            zones: this.#options.zones,
            regions: this.#options.regions ?? 1,
            random: this.random,
        });
        this.hosts.set(name, host);
        this.#repeat(host, TICK_MILLISECONDS, () => this.#tick(host));
        this.#repeat(host, HOST_LIST_INTERVAL_MILLISECONDS, () => this.#readHostList(host));
    }

    /** Ends a process without a graceful shutdown. */
    kill(name: string): void {
        const host = this.hosts.get(name);
        if (host !== undefined) {
            host.alive = false;
        }
    }

    /** Begins a graceful shutdown, which ends the process after `milliseconds`. */
    leave(name: string, milliseconds: number): void {
        const host = this.get(name);
        host.hasBegunLeaving = true;
        this.#handleMembership(host, { type: "leave" });
        this.#scheduler.schedule(this.nowMilliseconds + milliseconds, () => host.alive = false);
    }

    /** Pauses a process; messages that arrive meanwhile are delivered after the pause. */
    pause(name: string, milliseconds: number): void {
        this.get(name).pausedUntilMilliseconds = this.nowMilliseconds + milliseconds;
    }

    /** Stores a new configuration and notifies the hosts that watch the key-value service, as the `apply` command does. */
    apply(text: string): void {
        const revision = (this.record?.revision ?? 0) + 1;
        const change = { changeIdentifier: `change-${revision}`, appliedAtMilliseconds: 0, operator: "tester" };
        this.record = { revision, text, ...change };
        for (const host of this.running()) {
            const live = host.membership.presence(this.nowMilliseconds).liveInZone;
            if (host.configuration.watchesStore(live) && this.#reachesStore(host)) {
                const { record } = this;
                this.#deliver(
                    host,
                    PLATFORM_DELAY_MILLISECONDS,
                    () => this.#handleConfiguration(host, { type: "store-answered", record }),
                );
            }
        }
    }

    /** Advances the simulated clock. */
    run(milliseconds: number): void {
        this.#scheduler.runUntil(this.nowMilliseconds + milliseconds);
    }

    #reachesStore(host: FleetHost): boolean {
        return !this.storeOutage && !this.network.isCutFromPlatform(host.identity.host);
    }

    #repeat(host: FleetHost, intervalMilliseconds: number, action: () => void): void {
        const step = (): void => {
            if (!host.alive) {
                return;
            }
            if (this.nowMilliseconds >= host.pausedUntilMilliseconds) {
                action();
            }
            this.#scheduler.schedule(this.nowMilliseconds + intervalMilliseconds, step);
        };
        this.#scheduler.schedule(this.nowMilliseconds + Math.floor(this.random() * intervalMilliseconds), step);
    }

    /** Runs an action on a process after a delay; postponed until it reads its sockets again if it is paused by then. */
    #deliver(host: FleetHost, delayMilliseconds: number, action: () => void): void {
        this.#scheduler.schedule(this.nowMilliseconds + delayMilliseconds, () => {
            if (!host.alive) {
                return;
            }
            const socketsReadAtMilliseconds = host.pausedUntilMilliseconds + SOCKET_DELAY_AFTER_PAUSE_MILLISECONDS;
            if (this.nowMilliseconds < socketsReadAtMilliseconds) {
                this.#deliver(host, socketsReadAtMilliseconds - this.nowMilliseconds, action);
                return;
            }
            action();
        });
    }

    #tick(host: FleetHost): void {
        const now = this.nowMilliseconds;
        this.#handleConfiguration(host, { type: "presence", ...host.membership.presence(now) });
        this.#handleConfiguration(host, { type: "tick" });
        this.#handleMembership(host, { type: "own-state", ...host.configuration.heartbeatState(now) });
        this.#handleMembership(host, { type: "tick" });
    }

    #readHostList(host: FleetHost): void {
        if (this.network.isCutFromPlatform(host.identity.host)) {
            return;
        }
        const live = this.running().map(({ identity }) => ({ host: identity.host, peersUrl: identity.peersUrl }));
        this.#handleMembership(host, { type: "host-list", live, leaving: [] });
    }

    #handleMembership(host: FleetHost, message: MembershipMessage): void {
        for (const effect of host.membership.handle(message, this.nowMilliseconds)) {
            if (effect.type === "send-heartbeat" || effect.type === "send-reply") {
                this.#sendHeartbeat(host, effect);
            }
            else if (effect.type === "peer-leaving") {
                host.knownLeaving.add(`${effect.identity.host}/${effect.identity.incarnation}`);
            }
        }
    }

    #sendHeartbeat(from: FleetHost, effect: HeartbeatEffect): void {
        this.#options.onHeartbeat?.(from.identity.host, effect);
        const target = effect.host === undefined ? undefined : this.hosts.get(effect.host);
        const passes = target?.alive === true && this.network.passes(from.identity.host, target.identity.host);
        if (!passes) {
            const host = effect.host ?? "";
            this.#deliver(from, 1000, () => this.#handleMembership(from, { type: "send-failed", host }));
            return;
        }
        this.#deliver(target, this.network.drawDelayMilliseconds(), () => {
            const { status, known, progress } = effect;
            this.#handleMembership(target, { type: "heartbeat-received", status, known, progress });
            this.#handleConfiguration(target, {
                type: "peer-heard",
                host: status.identity.host,
                revision: status.configurationRevision,
                storeConfirmedMillisecondsAgo: status.storeConfirmedMillisecondsAgo,
            });
        });
    }

    #handleConfiguration(host: FleetHost, message: ConfigurationMessage): void {
        const effects = host.configuration.handle(message, this.nowMilliseconds);
        effects.forEach(effect => this.#performConfiguration(host, effect));
    }

    #performConfiguration(host: FleetHost, effect: ConfigurationEffect): void {
        if (effect.type === "read-store") {
            this.#readStore(host);
        }
        else if (effect.type === "fetch-from-peer") {
            this.#fetchFromPeer(host, effect.host);
        }
        else if (effect.type === "activate") {
            host.activated.push(effect.record);
            this.#handleMembership(host, {
                type: "own-state",
                ...host.configuration.heartbeatState(this.nowMilliseconds),
            });
        }
    }

    #readStore(host: FleetHost): void {
        this.storeReads += 1;
        const { record } = this;
        const message: ConfigurationMessage = this.#reachesStore(host)
            ? { type: "store-answered", record }
            : { type: "store-failed" };
        const slowMilliseconds = Math.floor(this.random() * 2000);
        const delayMilliseconds = message.type === "store-answered"
            ? PLATFORM_DELAY_MILLISECONDS + slowMilliseconds * 0.1
            : slowMilliseconds;
        this.#deliver(host, delayMilliseconds, () => this.#handleConfiguration(host, message));
    }

    #fetchFromPeer(host: FleetHost, from: string): void {
        const source = this.hosts.get(from);
        const requestPasses = this.network.passes(host.identity.host, from);
        if (source?.alive !== true || !requestPasses || !this.network.passes(from, host.identity.host)) {
            this.#deliver(host, 500, () => this.#handleConfiguration(host, { type: "peer-failed", host: from }));
            return;
        }
        const record = source.configuration.record();
        this.#deliver(
            host,
            this.network.drawDelayMilliseconds() + this.network.drawDelayMilliseconds(),
            () => this.#handleConfiguration(host, { type: "peer-answered", host: from, record }),
        );
    }
}
