/**
 * A site with two hosts and upstreams of several services, whose configuration changes in every way.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type RandomSource } from "../../src/decision/index.js";
import { type Behaviour, type ReceivedRequest } from "../../standins/platform/upstream.js";
import { callHost, engineSettings, EntrySite, type SiteHost, until, waitUntilReady } from "./entrySite.js";
import { type HeldRelay, startHeldRelay } from "./heldRelay.js";

/** Time limit of the routes on which requests are owed an answer. */
export const TIMEOUT_MILLISECONDS = 6_000;

/** Time limit of the route whose requests get no answer from their engine. */
export const SHORT_TIMEOUT_MILLISECONDS = 1_500;

/** Time limit of all routes after the change that lowers them. */
export const LOWERED_TIMEOUT_MILLISECONDS = 1_000;

export const IDLE_LIMIT_MILLISECONDS = 2_000;

/** Length of the answers that callers read slowly; more than the buffers of a connection hold. */
export const LARGE_BYTES = 6_000_000;

export const STREAM_EVENTS = 15;

/** Time until an engine that was asked for a slow answer sends it. */
const SLOW_MILLISECONDS = 1_500;

/** Time of a usual answer. */
const SOON_MILLISECONDS = 20;

const GRACE_MILLISECONDS = 8_000;
/** Time from SIGTERM until a host accepts no further requests. */
const CLOSE_MILLISECONDS = 3_000;

const MANY_ROUTES = 2_000;
const PERMITS_PER_SECOND = "4";

type Fields = Readonly<Record<string, unknown>>;

/** The parts of a configuration. */
export interface ConfigurationParts {
    readonly routes: readonly Fields[];
    readonly services: readonly Fields[];
    readonly limits: Fields;
}

const SERVICE_DEFAULTS = { healthPath: "/healthz", maxConnections: 100, protocol: "h1", tls: false };

/** Times with which a request waits until its model is loaded. */
const LLM_TIMES = { targetLatencyMs: 1_500, timeoutMs: 12_000 };

/** The configuration before a change. */
export const BASE: ConfigurationParts = {
    routes: [
        { pathPrefix: "/reads/", kind: "idempotent", targetLatencyMs: 800 },
        { pathPrefix: "/orders/", kind: "non_idempotent" },
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150 },
        { pathPrefix: "/tight/", kind: "idempotent", service: "tight", targetLatencyMs: 800 },
        { pathPrefix: "/limited/", kind: "idempotent", service: "limited", targetLatencyMs: 800 },
        { pathPrefix: "/llm/", kind: "stream", resumable: true, targetGapMs: 150, service: "llm", ...LLM_TIMES },
        { pathPrefix: "/short/", kind: "non_idempotent", timeoutMs: SHORT_TIMEOUT_MILLISECONDS },
    ].map(route => ({ timeoutMs: TIMEOUT_MILLISECONDS, ...route })),
    services: [
        { name: "plain", ...SERVICE_DEFAULTS },
        { name: "other", ...SERVICE_DEFAULTS },
        { name: "tight", ...SERVICE_DEFAULTS },
        { name: "limited", ...SERVICE_DEFAULTS },
        { name: "llm", ...SERVICE_DEFAULTS, engine: engineSettings(8, { quotes: 8, essays: 0 }) },
    ],
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 65_536,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: IDLE_LIMIT_MILLISECONDS,
    },
};

/** A site whose second host serves the callers; the first one is its peer. */
export interface ChangeSite {
    readonly site: EntrySite;
    readonly host: SiteHost;
    /** Relays between the hosts and the store, in order. */
    readonly relays: readonly HeldRelay[];
    /** Stores the next version. */
    readonly put: (parts: ConfigurationParts) => void;
    close(): Promise<void>;
}

/** A change, laid over requests in progress. */
export interface Change {
    readonly name: string;
    /** True where routes are removed, so that a request that is still being read may be answered 404. */
    readonly removesRoutes?: boolean;
    /** True where requests that begin after the change may reach their time limits. */
    readonly lowersTimeLimits?: boolean;
    /** When the pauses end that upstreams make beside the change; absent where none pauses. */
    readonly pauseEnds?: ReadonlyMap<string, number>;
    /** True where the host stops, and so closes connections on which nothing is in progress. */
    readonly closesConnections?: boolean;
    /** Time before the change at which the host must be told to stop, for the change to be its close to callers. */
    readonly stopsBeforeMilliseconds?: number;
    /** Time for which this process does not run when the requests have been sent. */
    readonly stallMilliseconds?: number;
    readonly apply: (site: ChangeSite, random: RandomSource) => Promise<void> | void;
}

/** Returns how an upstream answers a request: by the last part of its path. */
function createBehaviour(
    random: RandomSource,
    replacementAnswer: Behaviour | undefined,
): (request: ReceivedRequest) => Behaviour {
    const seen = new Set<string>();
    return ({ id, path }) => {
        const [action = "", argument] = (path.split("/")[2] ?? "").split("-");
        const isFirst = !seen.has(id);
        seen.add(id);
        if (!isFirst && replacementAnswer !== undefined) {
            return replacementAnswer;
        }
        const behaviours: Readonly<Record<string, () => Behaviour>> = {
            slow: () => ({ type: "answer", afterMilliseconds: SLOW_MILLISECONDS }),
            head: () => ({ type: "answer", bodyAfterMilliseconds: SLOW_MILLISECONDS }),
            large: () => ({ type: "answer", body: "x".repeat(LARGE_BYTES) }),
            soon: () => ({ type: "answer", afterMilliseconds: SOON_MILLISECONDS }),
            never: () => ({ type: "silent" }),
            reset: () => isFirst ? { type: "reset", afterMilliseconds: Number(argument) } : { type: "answer" },
            events: () => ({ type: "stream", events: STREAM_EVENTS, gapMilliseconds: 100 }),
            few: () => ({ type: "stream", events: STREAM_EVENTS, gapMilliseconds: 5 }),
            silent: () => ({
                type: "stream",
                events: STREAM_EVENTS,
                gapMilliseconds: 20,
                silentAfter: 8,
                silentMilliseconds: 1_000 + random() * 800,
            }),
        };
        return behaviours[action]?.() ?? { type: "answer" };
    };
}

/** Closes a host at once, or waits until it has stopped if it is stopping. */
async function closeHost({ host, lines }: SiteHost): Promise<void> {
    const hasLine = (text: string): boolean => lines.some(({ message }) => message === text);
    if (hasLine("stopping")) {
        await until(() => hasLine("stopped"), GRACE_MILLISECONDS);
    }
    else {
        await host.close();
    }
}

/**
 * Starts the site, with all upstreams known to its hosts and the rate limit of one of them told.
 *
 * @param random Varies the times of silent upstreams.
 * @param replacementAnswer How upstreams answer requests that another one received before; by default as that one did.
 */
export async function startChangeSite(random: RandomSource, replacementAnswer?: Behaviour): Promise<ChangeSite> {
    const site = await EntrySite.start();
    const put = (parts: ConfigurationParts): void =>
        site.configure(parts.routes, undefined, { services: parts.services, limits: parts.limits });
    put(BASE);
    const behave = createBehaviour(random, replacementAnswer);
    const slots: Readonly<Record<string, number>> = { plain: 200, other: 200, limited: 50, tight: 1 };
    for (const service of ["plain", "plain", "other", "other", "limited", "tight"]) {
        const id = `i-${service}-${site.upstreams.length}`;
        const upstream = await site.addUpstream({ id, behave, slots: slots[service] ?? 50 }, service);
        upstream.limit = service === "limited" ? PERMITS_PER_SECOND : undefined;
    }
    for (const id of ["i-llm-1", "i-llm-2"]) {
        await site.addUpstream({ id, behave, slots: 50, models: { quotes: [] }, loadMilliseconds: 900 }, "llm");
    }
    const relays = [await startHeldRelay(site.store.address), await startHeldRelay(site.store.address)];
    const bounds = { graceMilliseconds: GRACE_MILLISECONDS, retryExtra: 600 };
    const first = await site.addHost("entry-1", { bounds, storeAddress: relays[0]?.address ?? "" });
    const { address, port } = first.settings.state;
    const seeds = [`${address}:${port}`];
    const host = await site.addHost("entry-2", { bounds, seeds, storeAddress: relays[1]?.address ?? "" });
    await Promise.all([first, host].map(each => waitUntilReady(each)));
    await until(async () => (await callHost(host, { path: "/limited/1" })).status === 200);
    await callHost(host, { path: "/streams/few", method: "POST" });
    await callHost(host, { path: "/orders/large", method: "POST" });
    return {
        site,
        host,
        relays,
        put,
        close: async () => {
            await Promise.all(site.hosts.map(each => closeHost(each)));
            await site.close();
            await Promise.all(relays.map(relay => relay.close()));
        },
    };
}

function withRoutes(change: (route: Fields) => Fields): ConfigurationParts {
    return { ...BASE, routes: BASE.routes.map(change) };
}

function withLimits(limits: Fields): ConfigurationParts {
    return { ...BASE, limits: { ...BASE.limits, ...limits } };
}

function isPlain(route: Fields): boolean {
    return route["service"] === undefined;
}

function toOtherService(route: Fields): Fields {
    return isPlain(route) ? { ...route, service: "other" } : route;
}

function split(weight: number): ConfigurationParts {
    const trafficSplit = [{ service: "plain", weight }, { service: "other", weight: 1 - weight }];
    return withRoutes(route => isPlain(route) ? { ...route, trafficSplit } : route);
}

/** A route that exists only in newer configurations. */
const ADDED_ROUTE: Fields = { pathPrefix: "/added/", timeoutMs: TIMEOUT_MILLISECONDS };

const WITHOUT_PLAIN: ConfigurationParts = {
    ...withRoutes(toOtherService),
    services: BASE.services.filter(({ name }) => name !== "plain"),
};

async function holdFrom(relay: HeldRelay | undefined, change: () => void): Promise<void> {
    relay?.hold();
    change();
    await delay(700);
    relay?.release();
}

/** Changes of one part of the configuration. */
export const PART_CHANGES: readonly Change[] = [
    { name: "weights of a route's services", apply: ({ put }, random) => put(split(Math.round(random() * 10) / 10)) },
    { name: "routes moved to another service", apply: ({ put }) => put(withRoutes(toOtherService)) },
    { name: "all routes removed", removesRoutes: true, apply: ({ put }) => put({ ...BASE, routes: [ADDED_ROUTE] }) },
    { name: "a service removed", apply: ({ put }) => put(WITHOUT_PLAIN) },
    {
        name: "all routes and services removed",
        removesRoutes: true,
        apply: ({ put }) => put({ ...BASE, routes: [], services: [] }),
    },
    {
        name: "time limits lowered",
        lowersTimeLimits: true,
        apply: ({ put }) => put(withRoutes(route => ({ ...route, timeoutMs: LOWERED_TIMEOUT_MILLISECONDS }))),
    },
    { name: "time limits raised", apply: ({ put }) => put(withRoutes(route => ({ ...route, timeoutMs: 30_000 }))) },
    { name: "the idle limit lowered", apply: ({ put }) => put(withLimits({ idleTimeoutMs: 300 })) },
    { name: "the idle limit raised", apply: ({ put }) => put(withLimits({ idleTimeoutMs: 20_000 })) },
    {
        name: "the header and body limits lowered",
        apply: ({ put }) => put(withLimits({ headerTimeoutMs: 2_000, maxHeaderBytes: 4_096, maxBodyBytes: 20_000 })),
    },
    {
        name: "the connection limits lowered",
        apply: ({ put }) =>
            put({ ...BASE, services: BASE.services.map(service => ({ ...service, maxConnections: 8 })) }),
    },
    {
        name: "many routes added",
        apply: ({ put }) => {
            const added = Array.from({ length: MANY_ROUTES }, (_, index) => ({ pathPrefix: `/added/${index}/` }));
            put({ ...BASE, routes: [...BASE.routes, ...added] });
        },
    },
];

/** Changes in series and in other orders, and hosts that stop beside them. */
export const SERIES_CHANGES: readonly Change[] = [
    {
        name: "three versions within a second, the first taken back",
        apply: async ({ put }, random) => {
            put(WITHOUT_PLAIN);
            await delay(random() * 400);
            put(BASE);
            await delay(random() * 400);
            put({ ...split(0.5), limits: { ...BASE.limits, idleTimeoutMs: 1_000 } });
        },
    },
    {
        name: "a version heard from a peer before the store",
        apply: ({ put, relays }) => holdFrom(relays[1], () => put(WITHOUT_PLAIN)),
    },
    {
        name: "a version heard from the store before a peer",
        apply: ({ put, relays }) => holdFrom(relays[0], () => put(WITHOUT_PLAIN)),
    },
    {
        name: "an older version that arrives late",
        apply: async ({ put, site }, random) => {
            const older = site.configuration;
            put({ ...withRoutes(toOtherService), routes: [...withRoutes(toOtherService).routes, ADDED_ROUTE] });
            await delay(random() * 300);
            site.putAgain(older);
        },
    },
    {
        name: "settings reloaded at the same moment",
        apply: ({ host, put }) => {
            put(withRoutes(toOtherService));
            host.host.reload({ ...host.settings, bounds: { ...host.settings.bounds, maximumKeepSeconds: 4 } });
        },
    },
    { name: "SIGTERM", closesConnections: true, apply: ({ host }) => void host.host.stop() },
    {
        name: "the close to callers after SIGTERM",
        closesConnections: true,
        stopsBeforeMilliseconds: CLOSE_MILLISECONDS,
        apply: () => undefined,
    },
    {
        name: "the close to callers after SIGTERM, and a removed service",
        closesConnections: true,
        stopsBeforeMilliseconds: CLOSE_MILLISECONDS,
        apply: ({ put }) => put(WITHOUT_PLAIN),
    },
    {
        name: "SIGTERM beside a removed service and a reload",
        closesConnections: true,
        apply: ({ host, put }) => {
            put(WITHOUT_PLAIN);
            host.host.reload(host.settings);
            void host.host.stop();
        },
    },
];
