/**
 * Reads the load reports of the engines that this host polls, and tells when one has crashed.
 *
 * @module
 */
import { type EngineDigest } from "../generated/peers.js";
import { type EngineReport } from "../generated/upstreams.js";
import { type HostContext, listEngines, type PlacedEngine } from "./context.js";

const POLL_INTERVAL_MILLISECONDS = 500;

/** A running poller. */
export interface EnginePoller {
    close(): void;
}

/** What is remembered of an engine between two polls. */
interface Observation {
    incarnation: string;
    leaving: boolean;
    reachable: boolean;
}

function renderDigest(engine: string, report: EngineReport, leaving: boolean): EngineDigest {
    const { incarnation, running, waiting } = report;
    return { engine, incarnation, running, waiting, leaving, observedMillisecondsAgo: 0 };
}

/**
 * Starts polling engines.
 *
 * @param context What the tasks of this host share.
 * @param polls Tells whether this host polls an engine now.
 *
 * @example
 * ```ts
 * const poller = startEnginePoller(context, engine => membership.pollerOf(engine.name, engine.zone) === ownName);
 * ```
 */
export function startEnginePoller(context: HostContext, polls: (engine: PlacedEngine) => boolean): EnginePoller {
    const observations = new Map<string, Observation>();
    const reading = new Set<string>();
    let engines: readonly PlacedEngine[] = [];
    let leavingEngines: ReadonlySet<string> = new Set();

    context.events.subscribe(event => {
        if (event.type === "deployment-activated") {
            engines = listEngines(event.deployment);
        }
        else if (event.type === "engines-leaving") {
            leavingEngines = new Set(event.engines);
        }
        else if (event.type === "engine-suspected") {
            const engine = engines.find(({ name }) => name === event.engine);
            if (engine !== undefined) {
                void poll(engine);
            }
        }
    });
    const timer = setInterval(() => {
        for (const engine of engines.filter(candidate => polls(candidate))) {
            void poll(engine);
        }
    }, POLL_INTERVAL_MILLISECONDS);

    async function poll(engine: PlacedEngine): Promise<void> {
        if (reading.has(engine.name)) {
            return;
        }
        reading.add(engine.name);
        const report = await context.engines.get(engine.name, engine.url).readReport();
        reading.delete(engine.name);
        if (report.isOk()) {
            observe(engine, report.value);
        }
        else if (report.error.kind === "not-sent") {
            noteUnreachable(engine);
        }
    }

    function observe(engine: PlacedEngine, report: EngineReport): void {
        const before = observations.get(engine.name);
        const leaving = report.leaving || leavingEngines.has(engine.name);
        observations.set(engine.name, { incarnation: report.incarnation, leaving, reachable: true });
        if (before !== undefined && before.incarnation !== report.incarnation) {
            noteEnded(engine, before);
        }
        const digest = renderDigest(engine.name, report, leaving);
        context.events.publish({ type: "engine-observed", digest, origin: "own-poll" });
    }

    /** A refused connection means that the engine's process has ended: a live one listens. */
    function noteUnreachable(engine: PlacedEngine): void {
        const before = observations.get(engine.name);
        if (before?.reachable === true) {
            before.reachable = false;
            noteEnded(engine, before);
        }
    }

    function noteEnded(engine: PlacedEngine, before: Observation): void {
        if (before.leaving) {
            return;
        }
        context.logger.warn("engine crashed", { engine: engine.name, incarnation: before.incarnation });
        context.events.publish({ type: "engine-crashed", engine: engine.name, incarnation: before.incarnation });
    }

    return { close: () => clearInterval(timer) };
}
