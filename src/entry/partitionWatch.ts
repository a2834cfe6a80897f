/**
 * Finds out whether this host is partitioned from all upstreams, and when that ends.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import { type UpstreamAnnouncement, type UpstreamView } from "../fleet/index.js";
import { type EntryMetrics, type Logger, runInBackground } from "../observability/index.js";
import { chooseProbeTargets, PartitionDetector, type UpstreamContact } from "../partitions/index.js";
import { canConnect } from "./_connectionProbe.js";
import { type Acts } from "./actQueue.js";

/** Interval at which the contact with upstreams is looked at. */
const STEP_MILLISECONDS = 150;

/** Minimum time between two probes. */
const PROBE_INTERVAL_MILLISECONDS = 300;

/** Options of {@linkcode PartitionWatch}. */
export interface PartitionWatchOptions {
    readonly acts: Pick<Acts, "afterReading">;
    readonly contact: UpstreamContact;
    readonly view: UpstreamView;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly random: RandomSource;
    readonly readClock: () => number;
    /** Returns whether the configuration in force names a service; others are no sign that callers can be served. */
    readonly isServed: (service: string) => boolean;
    /** The host became partitioned, or is no longer. */
    readonly onChanged: () => void;
}

/** Whether this host is partitioned from all upstreams, while other hosts reach them. */
export class PartitionWatch {
    readonly #options: PartitionWatchOptions;
    readonly #detector = new PartitionDetector();
    #isPartitioned = false;
    #isProbing = false;
    #probedAtMilliseconds = Number.NEGATIVE_INFINITY;
    #probesFailedAtMilliseconds: number | undefined;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: PartitionWatchOptions) {
        this.#options = options;
    }

    get isPartitioned(): boolean {
        return this.#isPartitioned;
    }

    /** True while this host hears upstreams. */
    get isHearing(): boolean {
        return this.#options.contact.isHearing(this.#now());
    }

    start(): void {
        this.#timer = setInterval(() => this.#options.acts.afterReading(() => this.#step()), STEP_MILLISECONDS);
    }

    close(): void {
        clearInterval(this.#timer);
    }

    /** Records whether a peer, or some host of the other cells, says that it hears upstreams. */
    recordStatement(source: string, isHearing: boolean | undefined): void {
        this.#detector.recordStatement(source, isHearing === true, this.#now());
    }

    #step(): void {
        const { contact } = this.#options;
        const now = this.#now();
        contact.recordStep(now);
        if (contact.silentUpstreams(now).length > 0 || this.#isPartitioned) {
            runInBackground(this.#options.logger, "probe of upstreams", () => this.#probe());
        }
        this.#decide();
    }

    /** Tries connections to some upstreams; different ones each time. */
    async #probe(): Promise<void> {
        const now = this.#now();
        if (this.#isProbing || now - this.#probedAtMilliseconds < PROBE_INTERVAL_MILLISECONDS) {
            return;
        }
        const { contact, isServed, random, view } = this.#options;
        const targets = chooseProbeTargets(view.all().filter(({ service }) => isServed(service)), random);
        if (targets.length === 0) {
            return;
        }
        this.#probedAtMilliseconds = now;
        if (await this.#canConnectToAny(targets)) {
            contact.recordHeard(this.#now());
            this.#probesFailedAtMilliseconds = undefined;
        }
        else {
            this.#probesFailedAtMilliseconds = this.#now();
        }
        this.#decide();
    }

    async #canConnectToAny(targets: readonly UpstreamAnnouncement[]): Promise<boolean> {
        this.#isProbing = true;
        try {
            const outcomes = await Promise.all(targets.map(({ address }) => canConnect(address)));
            return outcomes.includes(true);
        }
        finally {
            this.#isProbing = false;
        }
    }

    #decide(): void {
        const { contact, logger, metrics, onChanged } = this.#options;
        const now = this.#now();
        const { heardAtMilliseconds } = contact;
        const evidence = { heardAtMilliseconds, probesFailedAtMilliseconds: this.#probesFailedAtMilliseconds };
        const isPartitioned = this.#detector.decide(evidence, now);
        if (isPartitioned === this.#isPartitioned) {
            return;
        }
        this.#isPartitioned = isPartitioned;
        const silentMilliseconds = Number.isFinite(heardAtMilliseconds)
            ? Math.round(now - heardAtMilliseconds)
            : undefined;
        if (isPartitioned) {
            logger.warn("upstreams not reached", { silentMilliseconds });
        }
        else {
            logger.info("upstreams reached again", { silentMilliseconds });
        }
        metrics.count("partitions", { change: isPartitioned ? "began" : "ended" });
        onChanged();
    }

    #now(): number {
        return this.#options.readClock();
    }
}
