/**
 * Creates the context shared by the tasks of a host: its identity, clients, logs and metrics.
 *
 * @module
 */
import { type HostIdentity } from "../generated/peers.js";
import { type Settings } from "../generated/settings.js";
import {
    type BrokenAnswer,
    type BrokenAnswerReport,
    createLogger,
    createMetrics,
    reportBrokenAnswer,
} from "../observability/index.js";
import { createPeerClient } from "../peers/index.js";
import { createHostListClient, createKeyValueClient } from "../platform/index.js";
import { createEngineClient, createPlainServiceClient } from "../upstreams/index.js";
import { createClientDirectory } from "./clientDirectory.js";
import { createIncarnation, processClock } from "./clock.js";
import { type HostContext } from "./context.js";
import { createHostEvents } from "./events.js";
import { createTraceLog } from "./traceLog.js";

function formatUrl(endpoint: { readonly address: string; readonly port: number; }): string {
    const address = endpoint.address.includes(":") ? `[${endpoint.address}]` : endpoint.address;
    return `http://${address}:${endpoint.port}`;
}

/**
 * Creates the context of a starting host, under a new incarnation.
 *
 * @param settings Validated settings.
 *
 * @example
 * ```ts
 * const context = createContext(settings);
 * await closeContext(context);
 * ```
 */
export function createContext(settings: Settings): HostContext {
    const incarnation = createIncarnation();
    const logger = createLogger({ level: settings.log.level, fields: { host: settings.host, incarnation } });
    const identity: HostIdentity = {
        host: settings.host,
        incarnation,
        zone: settings.zone,
        region: settings.region,
        callersUrl: formatUrl(settings.callers),
        peersUrl: formatUrl(settings.peers),
    };
    const metrics = createMetrics(settings.metrics, settings.host);
    const report: BrokenAnswerReport = {
        logger,
        metrics: { count: (_name, labels) => metrics.increment("answers.broken", labels) },
    };
    const onBrokenAnswer = (answer: BrokenAnswer): void => reportBrokenAnswer(report, answer);
    return {
        settings,
        identity,
        clock: processClock,
        random: Math.random,
        logger,
        traces: createTraceLog(logger, settings.log.trace),
        metrics,
        events: createHostEvents(),
        keyValue: createKeyValueClient({ urls: settings.platform.keyValue, onBrokenAnswer }),
        hostList: createHostListClient({ url: settings.platform.hostList, onBrokenAnswer }),
        peers: createClientDirectory((_name, url) => createPeerClient(url, { onBrokenAnswer })),
        engines: createClientDirectory((name, url) => createEngineClient({ name, url, onBrokenAnswer })),
        plainServices: createPlainServiceClient({ onBrokenAnswer }),
    };
}

/** Closes the clients of a context, then its metrics and its log. */
export async function closeContext(context: HostContext): Promise<void> {
    await Promise.all([context.peers.close(), context.engines.close(), context.plainServices.close()]);
    await Promise.all([context.keyValue.close(), context.hostList.close(), context.metrics.close()]);
    context.logger.info("closed");
    context.logger.close();
}
