/**
 * Many hosts' membership and configuration decisions in one process, under a seeded clock and a network with faults.
 *
 * @module
 */
import { type ConfigurationEffect, type ConfigurationMessage } from "../src/configuration/index.js";
import { createSeededRandom, type RandomSource } from "../src/decision/index.js";
import { type ConfigurationRecord } from "../src/generated/platform.js";
import { type MembershipEffect, type MembershipMessage } from "../src/membership/index.js";
import { Agenda } from "./_eventScheduler.js";
import { createFleetHost, type FleetHost, WAKING_MILLISECONDS } from "./_fleetHost.js";
import { Network } from "./_network.js";

const TICK_MILLISECONDS = 250;
const HOST_LIST_INTERVAL_MILLISECONDS = 2000;
const PLATFORM_DELAY_MILLISECONDS = 4;

export { type FleetHost } from "./_fleetHost.js";

type HeartbeatEffect = Extract<MembershipEffect, { type: "send-heartbeat" | "send-reply"; }>;

/** Options of a fleet. */
export interface FleetOptions {
    readonly seed: number;
    readonly hosts: number;
    readonly zones: number;
    readonly regions?: number;
    /** Called with each heartbeat sent, for measuring. */
    readonly onHeartbeat?: (from: string, effect: HeartbeatEffect) => void;
}

/** Hosts, their network, and a key-value service that can fail. */
export class Fleet {
    readonly random: RandomSource;
    readonly network: Network;
    readonly hosts = new Map<string, FleetHost>();
    readonly #options: FleetOptions;
    readonly #agenda = new Agenda();
    #incarnations = 0;
    /** What the key-value service holds. */
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
        return this.#agenda.nowMilliseconds;
    }

    /** Gives the processes that run. */
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

    /** Starts a process of a host; a process that runs under that name ends without notice. */
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

    /** Ends a process without notice. */
    kill(name: string): void {
        const host = this.hosts.get(name);
        if (host !== undefined) {
            host.alive = false;
        }
    }

    /** Begins a graceful shutdown, which ends the process after `milliseconds`. */
    leave(name: string, milliseconds: number): void {
        const host = this.get(name);
        host.left = true;
        this.#tellMembership(host, { type: "leave" });
        this.#agenda.at(this.nowMilliseconds + milliseconds, () => host.alive = false);
    }

    /** Stops a process for a while; what arrives waits. */
    pause(name: string, milliseconds: number): void {
        this.get(name).pausedUntilMilliseconds = this.nowMilliseconds + milliseconds;
    }

    /** Puts a text into force, as `apply` does. */
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
                    () => this.#tellConfiguration(host, { type: "store-answered", record }),
                );
            }
        }
    }

    /** Lets time pass. */
    run(milliseconds: number): void {
        this.#agenda.runUntil(this.nowMilliseconds + milliseconds);
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
            this.#agenda.at(this.nowMilliseconds + intervalMilliseconds, step);
        };
        this.#agenda.at(this.nowMilliseconds + Math.floor(this.random() * intervalMilliseconds), step);
    }

    /** Runs an action at a process after a delay, and after its pause if it is paused by then. */
    #deliver(host: FleetHost, delayMilliseconds: number, action: () => void): void {
        this.#agenda.at(this.nowMilliseconds + delayMilliseconds, () => {
            if (!host.alive) {
                return;
            }
            const readsAtMilliseconds = host.pausedUntilMilliseconds + WAKING_MILLISECONDS;
            if (this.nowMilliseconds < readsAtMilliseconds) {
                this.#deliver(host, readsAtMilliseconds - this.nowMilliseconds, action);
                return;
            }
            action();
        });
    }

    #tick(host: FleetHost): void {
        const now = this.nowMilliseconds;
        this.#tellConfiguration(host, { type: "presence", ...host.membership.presence(now) });
        this.#tellConfiguration(host, { type: "tick" });
        this.#tellMembership(host, { type: "own-state", ...host.configuration.state(now) });
        this.#tellMembership(host, { type: "tick" });
    }

    #readHostList(host: FleetHost): void {
        if (this.network.isCutFromPlatform(host.identity.host)) {
            return;
        }
        const live = this.running().map(({ identity }) => ({ host: identity.host, peersUrl: identity.peersUrl }));
        this.#tellMembership(host, { type: "host-list", live, leaving: [] });
    }

    #tellMembership(host: FleetHost, message: MembershipMessage): void {
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
            this.#deliver(from, 1000, () => this.#tellMembership(from, { type: "send-failed", host }));
            return;
        }
        this.#deliver(target, this.network.delay(), () => {
            const { status, known, progress } = effect;
            this.#tellMembership(target, { type: "heartbeat-received", status, known, progress });
            this.#tellConfiguration(target, {
                type: "peer-heard",
                host: status.identity.host,
                revision: status.configurationRevision,
                storeConfirmedMillisecondsAgo: status.storeConfirmedMillisecondsAgo,
            });
        });
    }

    #tellConfiguration(host: FleetHost, message: ConfigurationMessage): void {
        const effects = host.configuration.handle(message, this.nowMilliseconds);
        effects.forEach(effect => this.#performConfiguration(host, effect));
    }

    #performConfiguration(host: FleetHost, effect: ConfigurationEffect): void {
        if (effect.type === "read-store") {
            this.#readStore(host);
        }
        else if (effect.type === "fetch-from-peer") {
            this.#fetch(host, effect.host);
        }
        else if (effect.type === "activate") {
            host.activated.push(effect.record);
            this.#tellMembership(host, { type: "own-state", ...host.configuration.state(this.nowMilliseconds) });
        }
    }

    #readStore(host: FleetHost): void {
        this.storeReads += 1;
        const { record } = this;
        const message: ConfigurationMessage = this.#reachesStore(host)
            ? { type: "store-answered", record }
            : { type: "store-failed" };
        const slow = Math.floor(this.random() * 2000);
        const delay = message.type === "store-answered" ? PLATFORM_DELAY_MILLISECONDS + slow * 0.1 : slow;
        this.#deliver(host, delay, () => this.#tellConfiguration(host, message));
    }

    #fetch(host: FleetHost, from: string): void {
        const source = this.hosts.get(from);
        const there = this.network.passes(host.identity.host, from);
        if (source?.alive !== true || !there || !this.network.passes(from, host.identity.host)) {
            this.#deliver(host, 500, () => this.#tellConfiguration(host, { type: "peer-failed", host: from }));
            return;
        }
        const record = source.configuration.record();
        this.#deliver(
            host,
            this.network.delay() + this.network.delay(),
            () => this.#tellConfiguration(host, { type: "peer-answered", host: from, record }),
        );
    }
}
