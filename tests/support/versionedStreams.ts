/**
 * A site with engines of two software versions, which write their version into each event of a stream, and the callers
 * of streams that are broken off and resumed.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { KEYS } from "../../platform/names.js";
import { type PlatformUpstreamStandIn } from "../../standins/platform/upstream.js";
import { type CallerAnswer, callHost, EntrySite, type SiteHost, until, waitUntilReady } from "./entrySite.js";

export const OLD_VERSION = "v1";
export const NEW_VERSION = "v1.1";

const MODEL = "quotes";
const HOST_COUNT = 3;
const ENGINES_PER_VERSION = 2;
const EVENTS = 60;
const EVENT_GAP_MILLISECONDS = 25;

/** Streams that have run for this long are on record in the store. */
const RECORDED_MILLISECONDS = 700;

/** Hosts have heard of an engine's version, and of each other, within this time. */
const SETTLE_MILLISECONDS = 1_500;

/** A stream as its caller has received it, over all of the caller's requests. */
export interface VersionedStream {
    /** The request that brought the stream's first event. */
    readonly firstRequest: string;
    /** Identifiers and versions of the events, in order. */
    readonly events: readonly { readonly id: string; readonly version: string; }[];
    readonly isComplete: boolean;
    /** Answer to the caller's last request. */
    readonly answer: CallerAnswer;
}

function readEvents(body: string): VersionedStream["events"] {
    return [...body.matchAll(/id: (\d+)\ndata: \d+ (\S+)\n\n/g)].map(([, id = "", version = ""]) => ({ id, version }));
}

/** Returns the versions that a stream's events come from. */
export function versionsOf({ events }: VersionedStream): string[] {
    return [...new Set(events.map(({ version }) => version))];
}

/** Returns whether a stream's events are all there, in order and of one version. */
export function isWholeOfOneVersion(stream: VersionedStream): boolean {
    const isWhole = stream.events.length === EVENTS && stream.events.every(({ id }, index) => Number(id) === index + 1);
    return stream.isComplete && isWhole && versionsOf(stream).length === 1;
}

/** Hosts and engines; `close` stops them. */
export class VersionedSite {
    readonly site: EntrySite;
    readonly #firstTokenMilliseconds: number;
    #requestCount = 0;

    private constructor(site: EntrySite, firstTokenMilliseconds: number) {
        this.site = site;
        this.#firstTokenMilliseconds = firstTokenMilliseconds;
    }

    /**
     * Starts hosts, and engines of the given versions.
     *
     * @param versions The engines' versions.
     * @param firstTokenMilliseconds Time until an engine sends the first event of a stream.
     */
    static async start(
        versions: readonly string[] = [OLD_VERSION, NEW_VERSION],
        firstTokenMilliseconds = 0,
    ): Promise<VersionedSite> {
        const versionedSite = new VersionedSite(await EntrySite.start(), firstTokenMilliseconds);
        const { site } = versionedSite;
        const streams = { kind: "stream", resumable: true, targetGapMs: 150, timeoutMs: 12_000, maxAttempts: 3 };
        site.configure([{ pathPrefix: "/llm/", service: "llm", ...streams }]);
        for (const version of versions) {
            await versionedSite.addEngines(version);
        }
        for (let index = 0; index < HOST_COUNT; index += 1) {
            await site.addHost(`entry-${index}`);
        }
        await Promise.all(site.hosts.map(host => waitUntilReady(host)));
        await delay(SETTLE_MILLISECONDS);
        return versionedSite;
    }

    /** Starts engines with a version, and announces them. */
    async addEngines(softwareVersion: string): Promise<void> {
        for (let index = 0; index < ENGINES_PER_VERSION; index += 1) {
            await this.site.addUpstream({
                id: `engine-${softwareVersion}-${index}`,
                slots: 50,
                softwareVersion,
                models: { [MODEL]: [] },
                behave: () => ({
                    type: "stream",
                    events: EVENTS,
                    gapMilliseconds: EVENT_GAP_MILLISECONDS,
                    firstTokenMilliseconds: this.#firstTokenMilliseconds,
                }),
            }, "llm");
        }
    }

    enginesOf(version: string): PlatformUpstreamStandIn[] {
        return this.site.upstreams.filter(({ id }) => id.startsWith(`engine-${version}-`));
    }

    host(index: number): SiteHost {
        const host = this.site.hosts[index];
        if (host === undefined) {
            throw new Error(`no host ${index}`);
        }
        return host;
    }

    /** Ends an engine, and removes its announcement. */
    removeEngine(engine: PlatformUpstreamStandIn): void {
        engine.crash();
        this.site.store.remove(`${KEYS.upstreamPrefix}${engine.id}`);
    }

    /** Ends a host as a kill does: connections break, and nobody is told. */
    async killHost(index: number): Promise<void> {
        await this.host(index).host.close();
    }

    /** Starts a killed host anew; it knows only what the store has. */
    async restartHost(index: number): Promise<void> {
        const { settings } = this.host(index);
        const restarted = await this.site.startHost(settings);
        this.site.hosts.pop();
        this.site.hosts[index] = restarted;
        await waitUntilReady(restarted);
    }

    /** Begins streams at hosts by turns; the streams end, or break off, by themselves. */
    begin(count: number, hostIndexes: readonly number[] = [0, 1, 2]): Promise<VersionedStream>[] {
        return Array.from({ length: count }, (_, index) => this.#begin(hostIndexes[index % hostIndexes.length] ?? 0));
    }

    /** Waits until all engines run streams, and all streams that were begun have been running for some time. */
    async untilRunning(milliseconds = RECORDED_MILLISECONDS): Promise<void> {
        await until(() => this.site.upstreams.every(({ received }) => received.length > 0));
        await until(() => this.runCount() >= this.#requestCount);
        await delay(milliseconds);
    }

    /** Resumes a stream that broke off, as its caller does; without `resumes` the caller does not name the stream. */
    async resume(stream: VersionedStream, hostIndex: number, resumes?: string): Promise<VersionedStream> {
        const lastEventId = stream.events.at(-1)?.id;
        const { answer } = await this.#call(hostIndex, {
            ...lastEventId === undefined ? {} : { "Last-Event-Id": lastEventId },
            ...resumes === undefined ? {} : { Resumes: resumes },
        });
        return {
            ...stream,
            events: [...stream.events, ...readEvents(answer.body)],
            isComplete: answer.status === 200 && answer.isComplete,
            answer,
        };
    }

    /** Returns how many requests the engines have run, or begun to run. */
    runCount(): number {
        return this.site.upstreams.reduce((sum, { received }) => sum + received.length, 0);
    }

    async close(): Promise<void> {
        await this.site.close();
    }

    async #begin(hostIndex: number): Promise<VersionedStream> {
        const { answer, id } = await this.#call(hostIndex, {});
        const isComplete = answer.status === 200 && answer.isComplete;
        return { firstRequest: id, events: readEvents(answer.body), isComplete, answer };
    }

    async #call(
        hostIndex: number,
        headers: Readonly<Record<string, string>>,
    ): Promise<{ readonly answer: CallerAnswer; readonly id: string; }> {
        this.#requestCount += 1;
        const id = `stream-${this.#requestCount}`;
        const answer = await callHost(this.host(hostIndex), {
            path: "/llm/1",
            method: "POST",
            id,
            headers: { "Flamingospread-Model": MODEL, "Flamingospread-Deadline-Ms": "12000", ...headers },
        });
        return { answer, id };
    }
}
