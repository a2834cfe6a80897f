/**
 * Asks upstreams whether they answer, by their health address.
 *
 * @module
 */
import { type Agent } from "node:http";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { type AnswerHead, callUpstream, type UpstreamCall } from "./upstreamCall.js";

/** Minimum time between two probes of one upstream, whatever the number of requests that ask for them. */
const PROBE_INTERVAL_MILLISECONDS = 100;

/** Upstreams of one service that are probed within an interval in search of one that answers. */
const PROBES_PER_SERVICE = 2;

/** An upstream that works at its usual pace answers within a few milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 50;

/** Options of {@linkcode HealthProbes}. */
export interface HealthProbesOptions {
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    readonly agentFor: (service: string) => Agent;
    /** Returns the path that a service's upstreams answer health checks on; `undefined` where it has none. */
    readonly healthPathOf: (service: string) => string | undefined;
    /** An upstream answered, whatever the status. */
    readonly onAnswer: (upstream: UpstreamAnnouncement, head: AnswerHead, sentAtMilliseconds: number) => void;
}

interface SentProbe {
    readonly service: string;
    readonly atMilliseconds: number;
}

/** Probes of single upstreams, at most one at a time for each. */
export class HealthProbes {
    readonly #options: HealthProbesOptions;
    readonly #running = new Set<UpstreamCall>();
    /** Probes of the last interval, by upstream. */
    readonly #recent = new Map<string, SentProbe>();

    constructor(options: HealthProbesOptions) {
        this.#options = options;
    }

    /** Returns whether upstreams of a service can be probed. */
    canProbe(service: string): boolean {
        return this.#options.healthPathOf(service) !== undefined;
    }

    /** Returns whether few upstreams of a service were probed a moment ago. */
    mayProbeMore(service: string): boolean {
        this.#forgetOld();
        return [...this.#recent.values()].filter(sent => sent.service === service).length < PROBES_PER_SERVICE;
    }

    /**
     * Probes an upstream, unless it was probed a moment ago or its service has no health address.
     *
     * @param upstream The upstream.
     *
     * @example
     * ```ts
     * if (probes.mayProbeMore(upstream.service)) {
     *     probes.probe(upstream);
     * }
     * ```
     */
    probe(upstream: UpstreamAnnouncement): void {
        const { id, service } = upstream;
        const path = this.#options.healthPathOf(service);
        this.#forgetOld();
        if (path === undefined || this.#recent.has(id)) {
            return;
        }
        const atMilliseconds = this.#options.readClock();
        this.#recent.set(id, { service, atMilliseconds });
        this.#send(upstream, path, atMilliseconds);
    }

    /** Cancels the probes that run. */
    close(): void {
        for (const call of this.#running) {
            call.cancel();
        }
        this.#running.clear();
    }

    #send(upstream: UpstreamAnnouncement, path: string, sentAtMilliseconds: number): void {
        const finish = (outcome: string): void => {
            clearTimeout(timer);
            this.#running.delete(call);
            call.cancel();
            this.#record(upstream, outcome, sentAtMilliseconds);
        };
        const timer = setTimeout(() => finish("silent"), PROBE_TIMEOUT_MILLISECONDS);
        const call = callUpstream({
            agent: this.#options.agentFor(upstream.service),
            address: upstream.address,
            method: "GET",
            path,
            headers: ["Host", upstream.address],
            body: Buffer.alloc(0),
            connectTimeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
            onConnected: () => undefined,
            onHead: head => this.#options.onAnswer(upstream, head, sentAtMilliseconds),
            onData: () => undefined,
            onEnd: () => finish("answered"),
            onFailure: failure => finish(failure),
        });
        this.#running.add(call);
    }

    #record(upstream: UpstreamAnnouncement, outcome: string, sentAtMilliseconds: number): void {
        const tookMilliseconds = Math.round(this.#options.readClock() - sentAtMilliseconds);
        this.#options.metrics.count("health_probes", { outcome });
        this.#options.logger.info("upstream probed", { upstream: upstream.id, outcome, tookMilliseconds });
    }

    #forgetOld(): void {
        const now = this.#options.readClock();
        for (const [upstream, { atMilliseconds }] of this.#recent) {
            if (now - atMilliseconds >= PROBE_INTERVAL_MILLISECONDS) {
                this.#recent.delete(upstream);
            }
        }
    }
}
