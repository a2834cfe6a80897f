/**
 * A site whose first upstream pauses or hangs, and answers there that its callers time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { type Behaviour, type PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { engineSettings, EntrySite, type HostOptions, type SiteHost, until, waitUntilReady } from "./entrySite.js";
import { allEventIds, eventIds, type HeldAnswer, holdAnswer, type TimedAnswer } from "./heldAnswer.js";

/** Callers abandon a stream after a gap of this length. */
export const CALLER_GAP_LIMIT_MILLISECONDS = 2_000;

/** Target latency of the reads; an answer that takes longer than some of these is late, but owed. */
export const TARGET_MILLISECONDS = 200;

/** Slots of an upstream on which the requests of a test are a light load. */
const SLOTS = 100;

const OTHER_IDS = ["i-other-1", "i-other-2"];

/** Options of {@linkcode PausedSite.start}. */
export interface PausedSiteOptions {
    /** How the upstream answers that pauses. */
    readonly behaviour: Behaviour;
    /** How the other upstreams answer. */
    readonly others: Behaviour;
    readonly maxAttempts: number;
}

/** A site with one host, an upstream that is to pause, and once `addOthers` is called two others with free slots. */
export class PausedSite {
    readonly site: EntrySite;
    readonly host: SiteHost;
    readonly upstream: PlatformUpstreamStandIn;
    readonly #options: PausedSiteOptions;

    private constructor(
        site: EntrySite,
        host: SiteHost,
        upstream: PlatformUpstreamStandIn,
        options: PausedSiteOptions,
    ) {
        this.site = site;
        this.host = host;
        this.upstream = upstream;
        this.#options = options;
    }

    static async start({ behaviour, maxAttempts, others }: PausedSiteOptions): Promise<PausedSite> {
        const site = await EntrySite.start();
        configure(site, maxAttempts);
        const upstream = await site.addUpstream({ id: "i-paused", behave: () => behaviour, slots: SLOTS });
        const options: HostOptions = { bounds: { retryExtra: 600 } };
        const host = await site.addHost("entry-1", options);
        await waitUntilReady(host);
        return new PausedSite(site, host, upstream, { behaviour, maxAttempts, others });
    }

    /** Begins streams at the upstream that is to pause; resolves once each caller has a first event. */
    async beginStreams(count: number): Promise<readonly Promise<TimedAnswer>[]> {
        const answers = await this.#begin(count, { kind: "streams", method: "POST" });
        await until(() => answers.every(({ readBytes }) => readBytes() > 0));
        return answers.map(({ ended }) => ended);
    }

    /** Begins streams at the upstream that is to pause; resolves once it received them all. */
    async beginStreamsWithoutEvent(count: number): Promise<readonly Promise<TimedAnswer>[]> {
        const answers = await this.#begin(count, { kind: "streams", method: "POST" });
        return answers.map(({ ended }) => ended);
    }

    /** Begins reads at the upstream that is to pause; resolves once it received them all. */
    async beginReads(count: number): Promise<readonly Promise<TimedAnswer>[]> {
        const answers = await this.#begin(count, { kind: "reads", method: "GET" });
        return answers.map(({ ended }) => ended);
    }

    /** Adds two other upstreams with free slots; returns them once the host knows them. */
    async addOthers(): Promise<readonly PlatformUpstreamStandIn[]> {
        const others: PlatformUpstreamStandIn[] = [];
        for (const id of OTHER_IDS) {
            others.push(await this.site.addUpstream({ id, behave: () => this.#options.others, slots: SLOTS }));
        }
        await until(() => OTHER_IDS.every(id => this.#hasJoined(id)));
        return others;
    }

    /** Stores the configuration again, with a route more. */
    addRoute(): void {
        configure(this.site, this.#options.maxAttempts, [{ pathPrefix: "/added/" }]);
    }

    async close(): Promise<void> {
        await this.host.host.close();
        await this.site.close();
    }

    async #begin(
        count: number,
        { kind, method }: { readonly kind: string; readonly method: string; },
    ): Promise<readonly HeldAnswer[]> {
        const answers = Array.from(
            { length: count },
            (_, index) => holdAnswer(this.host, { path: `/${kind}/${index}`, method }),
        );
        await until(() => this.upstream.received.length === count);
        return answers;
    }

    #hasJoined(id: string): boolean {
        return this.host.lines.some(({ fields, message }) =>
            message === "upstream joined" && fields["upstream"] === id
        );
    }
}

function configure(
    site: EntrySite,
    maxAttempts: number,
    addedRoutes: readonly Readonly<Record<string, unknown>>[] = [],
) {
    site.configure([
        {
            pathPrefix: "/streams/",
            kind: "stream",
            resumable: true,
            targetGapMs: 150,
            timeoutMs: 8_000,
            maxAttempts,
        },
        { pathPrefix: "/reads/", timeoutMs: 8_000, targetLatencyMs: TARGET_MILLISECONDS, maxAttempts },
        ...addedRoutes,
    ], engineSettings(4, { quotes: 0 }));
}

/** Returns whether a stream is whole. */
export function isWholeStream({ body, isComplete, status }: TimedAnswer, events: number): boolean {
    return status === 200 && isComplete && JSON.stringify(eventIds(body)) === JSON.stringify(allEventIds(events));
}

/** Returns whether a read was answered with success. */
function isServed({ isComplete, status }: TimedAnswer): boolean {
    return status === 200 && isComplete;
}

/** Fails unless all streams are whole, and no caller went without an event for so long that it would have left. */
export function assertWholeStreams(answers: readonly TimedAnswer[], events: number): void {
    const whole = answers.filter(each => isWholeStream(each, events));
    const long = answers.filter(({ longestGapMilliseconds }) =>
        longestGapMilliseconds >= CALLER_GAP_LIMIT_MILLISECONDS
    );
    const gapMilliseconds = Math.round(Math.max(...answers.map(each => each.longestGapMilliseconds)));
    const found = `${whole.length} of ${answers.length} streams whole, ${long.length} with gaps of 2 s or more,`
        + ` the longest ${gapMilliseconds} ms`;
    assert.ok(whole.length === answers.length && long.length === 0, found);
}

/** Fails unless all reads were answered with success. */
export function assertServedReads(answers: readonly TimedAnswer[]): void {
    const served = answers.filter(isServed);
    assert.equal(served.length, answers.length, `${served.length} of ${answers.length} reads served`);
}
