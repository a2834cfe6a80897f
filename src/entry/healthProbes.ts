/**
 * Asks upstreams whether they answer, by their health address.
 *
 * @module
 */
import { type Agent } from "node:http";
import { type UpstreamAnnouncement } from "../fleet/index.js";
import { type EntryMetrics, type Logger, reportBrokenAnswer } from "../observability/index.js";
import { type AnswerHead } from "../transport/answers/index.js";
import { type Acts } from "./actQueue.js";
import { callUpstream, type UpstreamCall } from "./upstreamCall.js";

/** Minimum time between two probes of one upstream, whatever the number of requests that ask for them. */
const PROBE_INTERVAL_MILLISECONDS = 100;

/** Upstreams of one service that are probed within an interval in search of one that answers. */
const PROBES_PER_SERVICE = 2;

/** An upstream that did not answer is not looked at again, in search of one that answers, for this time. */
const UNANSWERED_MILLISECONDS = 500;

/** An upstream that works at its usual pace answers within a few milliseconds. */
const PROBE_TIMEOUT_MILLISECONDS = 50;

const ANSWERED = "answered";

/** Options of {@linkcode HealthProbes}. */
export interface HealthProbesOptions {
    readonly acts: Pick<Acts, "afterReading">;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    readonly agentFor: (service: string) => Agent;
    /** Returns the path that a service's upstreams answer health checks on; `undefined` where it has none. */
    readonly healthPathOf: (service: string) => string | undefined;
    readonly onAnswer: (upstream: UpstreamAnnouncement, head: AnswerHead) => void;
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
    /** When a probe of an upstream that then did not answer was sent. */
    readonly #unansweredAtMilliseconds = new Map<string, number>();
    #isClosed = false;

    constructor(options: HealthProbesOptions) {
        this.#options = options;
    }

    /** Returns whether upstreams of a service can be probed. */
    canProbe(service: string): boolean {
        return this.#options.healthPathOf(service) !== undefined;
    }

    /** Returns whether the upstream did not answer its last probe, a moment ago. */
    wasUnanswered(upstream: string): boolean {
        this.#forgetOld();
        return this.#unansweredAtMilliseconds.has(upstream);
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
        if (path === undefined || this.#isClosed || this.#recent.has(id)) {
            return;
        }
        const atMilliseconds = this.#options.readClock();
        this.#recent.set(id, { service, atMilliseconds });
        this.#send(upstream, path, atMilliseconds);
    }

    /** Cancels the probes that run. */
    close(): void {
        this.#isClosed = true;
        for (const call of this.#running) {
            call.cancel();
        }
        this.#running.clear();
    }

    #send(upstream: UpstreamAnnouncement, path: string, sentAtMilliseconds: number): void {
        const { acts } = this.#options;
        let timer: NodeJS.Timeout | undefined;
        const finish = (outcome: string): void => {
            clearTimeout(timer);
            if (this.#running.delete(call)) {
                call.cancel();
                this.#record(upstream, outcome, sentAtMilliseconds);
            }
        };
        const call = callUpstream({
            acts,
            agent: this.#options.agentFor(upstream.service),
            address: upstream.address,
            method: "GET",
            path,
            headers: () => ["Host", upstream.address],
            body: Buffer.alloc(0),
            connectTimeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
            onConnected: () => {
                call.send();
                timer = setTimeout(() => acts.afterReading(() => finish("silent")), PROBE_TIMEOUT_MILLISECONDS);
            },
            onHead: head => this.#options.onAnswer(upstream, head),
            onData: () => undefined,
            onEnd: () => finish(ANSWERED),
            onBroken: fault =>
                reportBrokenAnswer(this.#options, { reader: "health-probe", address: upstream.address, fault }),
            onFailure: failure => finish(failure),
        });
        this.#running.add(call);
    }

    #record({ id }: UpstreamAnnouncement, outcome: string, sentAtMilliseconds: number): void {
        if (outcome === ANSWERED) {
            this.#unansweredAtMilliseconds.delete(id);
        }
        else {
            this.#unansweredAtMilliseconds.set(id, sentAtMilliseconds);
        }
        const tookMilliseconds = Math.round(this.#options.readClock() - sentAtMilliseconds);
        this.#options.metrics.count("health_probes", { outcome });
        this.#options.logger.info("upstream probed", { upstream: id, outcome, tookMilliseconds });
    }

    #forgetOld(): void {
        const now = this.#options.readClock();
        for (const [upstream, { atMilliseconds }] of this.#recent) {
            if (now - atMilliseconds >= PROBE_INTERVAL_MILLISECONDS) {
                this.#recent.delete(upstream);
            }
        }
        for (const [upstream, atMilliseconds] of this.#unansweredAtMilliseconds) {
            if (now - atMilliseconds >= UNANSWERED_MILLISECONDS) {
                this.#unansweredAtMilliseconds.delete(upstream);
            }
        }
    }
}
