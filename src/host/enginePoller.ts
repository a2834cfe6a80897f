/**
 * Polls engines for their load reports, and publishes those reports and detected crashes.
 *
 * @module
 */
import { type EngineDigest } from "../generated/peers.js";
import { type EngineReport } from "../generated/upstreams.js";
import { type HostContext, listEngines, type PoolEngine } from "./context.js";

const POLL_INTERVAL_MILLISECONDS = 500;

/** A running poller. */
export interface EnginePoller {
    close(): void;
}

/** State of an engine at its last poll. */
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
 * Starts to poll engines at intervals, and at once those that are suspected to have crashed.
 *
 * @param context Settings, clients and observability of this host.
 * @param isPoller Returns whether this host has to poll an engine.
 *
 * @example
 * ```ts
 * const poller = startEnginePoller(context, engine => membership.pollerOf(engine.name, engine.zone) === ownName);
 * ```
 */
export function startEnginePoller(context: HostContext, isPoller: (engine: PoolEngine) => boolean): EnginePoller {
    const observations = new Map<string, Observation>();
    const enginesBeingPolled = new Set<string>();
    let engines: readonly PoolEngine[] = [];
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
        for (const engine of engines.filter(candidate => isPoller(candidate))) {
            void poll(engine);
        }
    }, POLL_INTERVAL_MILLISECONDS);

    async function poll(engine: PoolEngine): Promise<void> {
        if (enginesBeingPolled.has(engine.name)) {
            return;
        }
        enginesBeingPolled.add(engine.name);
        const report = await context.engines.get(engine.name, engine.url).readReport();
        enginesBeingPolled.delete(engine.name);
        if (report.isOk()) {
            observe(engine, report.value);
        }
        else if (report.error.kind === "not-sent") {
            recordUnreachable(engine);
        }
    }

    function observe(engine: PoolEngine, report: EngineReport): void {
        const previous = observations.get(engine.name);
        const leaving = report.leaving || leavingEngines.has(engine.name);
        observations.set(engine.name, { incarnation: report.incarnation, leaving, reachable: true });
        if (previous !== undefined && previous.incarnation !== report.incarnation) {
            reportCrashUnlessLeaving(engine, previous);
        }
        const digest = renderDigest(engine.name, report, leaving);
        context.events.publish({ type: "engine-observed", digest, origin: "own-poll" });
    }

    /** Handles a refused connection, which means that the engine's process has ended, as a live process listens. */
    function recordUnreachable(engine: PoolEngine): void {
        const previous = observations.get(engine.name);
        if (previous?.reachable === true) {
            previous.reachable = false;
            reportCrashUnlessLeaving(engine, previous);
        }
    }

    function reportCrashUnlessLeaving(engine: PoolEngine, previous: Observation): void {
        if (previous.leaving) {
            return;
        }
        context.logger.warn("engine crashed", { engine: engine.name, incarnation: previous.incarnation });
        context.events.publish({ type: "engine-crashed", engine: engine.name, incarnation: previous.incarnation });
    }

    return { close: () => clearInterval(timer) };
}
