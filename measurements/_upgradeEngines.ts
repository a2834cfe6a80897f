/**
 * Model engines of the upgrade's site, which are lost and replaced by engines of a later software version.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { KEYS } from "../platform/names.js";
import { type PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { type EntrySite } from "../tests/support/entrySite.js";

/** Service of the engines. */
export const ENGINE_SERVICE = "llm";

/** Model that all engines have in memory. */
export const MODEL = "quotes";

/** Events of a complete stream. */
export const STREAM_EVENTS = 40;

const ENGINES = 4;
const ENGINE_SLOTS = 50;
const EVENT_GAP_MILLISECONDS = 25;
const RESTART_MILLISECONDS = 1_500;

/** A draining engine stops after this time, when its streams have ended. */
const DRAINING_MILLISECONDS = 2_500;

/** Numbers of an engine's announcements while it drains are above that of its first one. */
const DRAINING_SEQUENCE = 100;

interface VersionedEngine {
    readonly upstream: PlatformUpstreamStandIn;
    readonly version: number;
}

/**
 * Engines of the site.
 *
 * @example
 * ```ts
 * const engines = new UpgradeEngines(site);
 * await engines.start();
 * engines.lose(); // "engine lost: i-engine-1 of v1"
 * ```
 */
export class UpgradeEngines {
    readonly #site: EntrySite;
    #engines: VersionedEngine[] = [];
    #started = 0;

    constructor(site: EntrySite) {
        this.#site = site;
    }

    /** Starts engines of the first version. */
    async start(): Promise<void> {
        for (let index = 0; index < ENGINES; index += 1) {
            await this.#startEngine(1);
        }
    }

    /**
     * Ends an engine of the version that most engines have, without a word; it starts again soon. Streams can be resumed
     * at the other engines of its version.
     *
     * @returns What was done, for the report.
     */
    lose(): string {
        const count = (version: number): number => this.#engines.filter(other => other.version === version).length;
        const [engine] = this.#engines.toSorted((left, right) => count(right.version) - count(left.version));
        engine?.upstream.crash();
        return `engine lost: ${describe(engine)}`;
    }

    /**
     * Replaces an engine of the earliest version by one of the next.
     *
     * @returns What was done, for the report.
     */
    async release(): Promise<string> {
        const [engine] = this.#engines.toSorted((left, right) => left.version - right.version);
        if (engine === undefined) {
            return "no engine to replace";
        }
        await this.#startEngine(engine.version + 1);
        this.#engines = this.#engines.filter(other => other !== engine);
        const { upstream } = engine;
        this.#site.announce(upstream, ENGINE_SERVICE, { state: "draining", sequence: DRAINING_SEQUENCE });
        await delay(DRAINING_MILLISECONDS);
        this.#site.store.remove(`${KEYS.upstreamPrefix}${upstream.id}`);
        await upstream.close();
        return `engine released: ${describe(engine)} to v${engine.version + 1}`;
    }

    async #startEngine(version: number): Promise<void> {
        this.#started += 1;
        const upstream = await this.#site.addUpstream({
            id: `i-engine-${this.#started}`,
            slots: ENGINE_SLOTS,
            softwareVersion: `v${version}`,
            models: { [MODEL]: [] },
            restart: { afterMilliseconds: RESTART_MILLISECONDS, keepsModels: true },
            behave: () => ({ type: "stream", events: STREAM_EVENTS, gapMilliseconds: EVENT_GAP_MILLISECONDS }),
        }, ENGINE_SERVICE);
        this.#engines.push({ upstream, version });
    }
}

function describe(engine: VersionedEngine | undefined): string {
    return engine === undefined ? "none" : `${engine.upstream.id} of v${engine.version}`;
}
