/**
 * The hosts of one cell, each a process, of which some get little processor time or answers of the store late.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { PlatformStoreStandIn } from "../../standins/platform/store.js";
import { bundleProgram, NODE_OPTIONS } from "./bundledProgram.js";
import {
    createEntrySettings,
    type EntryProgram,
    type EntryProgramSettings,
    startEntryProgram,
    waitUntilProgramReady,
} from "./entryProgram.js";
import { callHost, until } from "./entrySite.js";
import { PollRelay } from "./pollRelay.js";
import { type EngineAnswer, RecordingEngine } from "./stoppedHost.js";

const HOST_KEY_PREFIX = "hosts/";

/** Nothing listens there. */
const SILENT_ADDRESS = "127.0.0.1:9";
const SILENT_ADDRESSES = { callers: SILENT_ADDRESS, gossip: SILENT_ADDRESS, state: SILENT_ADDRESS };

const UPSTREAM_KEY_PREFIX = "servers/";
const CONFIGURATION_KEY = "op/config";

/** Hosts of a cell that watch the store. */
export const WATCHERS = 3;

/** The hosts of a cell have heard each other and agreed on who watches the store within this time. */
const AGREED_MILLISECONDS = 10_000;

/** How a process runs: a part of each period. */
export interface RunShare {
    readonly runMilliseconds: number;
    readonly periodMilliseconds: number;
}

/** One host of the cell. */
export class CellHost {
    readonly name: string;
    readonly relay: PollRelay;
    readonly #program: EntryProgram;
    readonly #settings: EntryProgramSettings;
    #isStarved = false;
    #starving: Promise<void> | undefined;

    constructor(name: string, relay: PollRelay, program: EntryProgram, settings: EntryProgramSettings) {
        this.name = name;
        this.relay = relay;
        this.#program = program;
        this.#settings = settings;
    }

    get output(): string {
        return this.#program.output();
    }

    waitUntilReady(): Promise<void> {
        return waitUntilProgramReady(this.#settings);
    }

    async call(path: string): Promise<number | undefined> {
        const host = { settings: { callers: { address: "127.0.0.1", port: this.#settings.callers } } };
        return (await callHost(host, { path })).status;
    }

    /** Lets the process run a part of each period, from a time within the first one, until `feed`. */
    starve(share: RunShare, offsetMilliseconds: number): void {
        this.#isStarved = true;
        this.#starving = this.#runPart(share, offsetMilliseconds);
    }

    /** Lets the process run all the time. */
    async feed(): Promise<void> {
        this.#isStarved = false;
        await this.#starving;
    }

    async close(): Promise<void> {
        await this.feed();
        await this.#program.close();
        await this.relay.close();
    }

    async #runPart({ periodMilliseconds, runMilliseconds }: RunShare, offsetMilliseconds: number): Promise<void> {
        const { child } = this.#program;
        await delay(offsetMilliseconds);
        while (this.#isStarved) {
            child.kill("SIGSTOP");
            await delay(periodMilliseconds - runMilliseconds);
            child.kill("SIGCONT");
            await delay(runMilliseconds);
        }
        child.kill("SIGCONT");
    }
}

/** A cell with its store and engines; `close` ends them. */
export class ProgramCell {
    readonly store: PlatformStoreStandIn;
    readonly hosts: CellHost[] = [];
    readonly engines: RecordingEngine[] = [];
    readonly #closeBundle: () => void;

    private constructor(store: PlatformStoreStandIn, closeBundle: () => void) {
        this.store = store;
        this.#closeBundle = closeBundle;
    }

    /** Starts hosts, in the order of their names, and waits until all but the first ones leave the watch to these. */
    static async start(
        names: readonly string[],
        configuration: Readonly<Record<string, unknown>>,
    ): Promise<ProgramCell> {
        const store = await PlatformStoreStandIn.start();
        store.put(CONFIGURATION_KEY, configuration);
        const bundle = await bundleProgram();
        const cell = new ProgramCell(store, () => bundle.close());
        for (const name of names) {
            const relay = await PollRelay.start(store.address);
            const settings = await createEntrySettings(relay.address, { name });
            const program = startEntryProgram(settings.text, [...NODE_OPTIONS, bundle.launcher]);
            cell.hosts.push(new CellHost(name, relay, program, settings));
        }
        await Promise.all(cell.hosts.map(host => host.waitUntilReady()));
        await until(
            () => cell.fedHosts.every(({ output }) => output.includes("watch left to others of the cell")),
            AGREED_MILLISECONDS,
        );
        return cell;
    }

    /** The hosts that watch the store for the others. */
    get watchers(): readonly CellHost[] {
        return this.hosts.slice(0, WATCHERS);
    }

    /** The hosts that the watchers feed. */
    get fedHosts(): readonly CellHost[] {
        return this.hosts.slice(WATCHERS);
    }

    /** Registers a host that says nothing, but counts in the division of the fleet into cells. */
    registerSilentHost(host: string): void {
        const record = { host, session: "1", zone: "zone-a", addresses: SILENT_ADDRESSES };
        this.store.put(`${HOST_KEY_PREFIX}${host}`, record);
    }

    async addEngine(id: string, service: string, respond: (path: string) => EngineAnswer): Promise<RecordingEngine> {
        const engine = await RecordingEngine.start(id, service, respond);
        this.engines.push(engine);
        return engine;
    }

    announce(engine: RecordingEngine, state: "ready" | "draining", slots: number): void {
        this.store.put(`${UPSTREAM_KEY_PREFIX}${engine.id}`, engine.announcement(state, slots));
    }

    async close(): Promise<void> {
        await Promise.all(this.hosts.map(host => host.close()));
        await Promise.all(this.engines.map(engine => engine.close()));
        await this.store.close();
        this.#closeBundle();
    }
}
