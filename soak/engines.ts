/**
 * The engines of a soak: what they answer, what runs on them, and how they leave and fail.
 *
 * @module
 */
import { setTimeout as delay } from "node:timers/promises";
import { type PlatformStoreStandIn } from "../standins/platform/store.js";
import { type Behaviour, PlatformUpstreamStandIn, type ReceivedRequest } from "../standins/platform/upstream.js";
import { DRAIN_MILLISECONDS } from "./settings.js";
import { digestOf, type SoakLog } from "./soakLog.js";

/** How an engine answers while it is in trouble. */
export type EngineCondition = "sound" | "silent" | "resetting" | "failing" | "late";

/** Services of the engines: a plain one, and one of models. */
export type EngineService = "mill-ops" | "bag-llm";

const MODELS = { quotes: [], captions: [] };
const SLOTS = 64;
const ANSWER_MILLISECONDS = 15;
const LATE_MILLISECONDS = 2_500;
const EVENT_GAP_MILLISECONDS = 20;
const RESTART_MILLISECONDS = 1_500;
/** A leaving engine goes on for this time after it is no longer announced. */
const AFTER_REMOVAL_MILLISECONDS = 1_000;

/** One engine. */
export interface SoakEngine {
    readonly service: EngineService;
    readonly upstream: PlatformUpstreamStandIn;
    condition: EngineCondition;
}

/** Returns the whole body of a request's answer: `/KIND/SIZE`, or `/KIND/EVENTS/PADDING` for a stream. */
function renderBody(path: string, id: string): string {
    const [, kind, size = "0", padding = "0"] = path.split("/");
    if (kind === "orders" || kind === "reads") {
        return `${id} ${"x".repeat(Number(size))}`;
    }
    const event = (index: number): string => `id: ${index}\ndata: ${index}${"x".repeat(Number(padding))}\n\n`;
    return Array.from({ length: Number(size) }, (_, index) => event(index + 1)).join("");
}

/** Returns how an engine in a condition answers, with the whole body that it has for the request. */
function chooseBehaviour(condition: EngineCondition, { path }: ReceivedRequest, body: string): Behaviour {
    const [, kind, size = "0", padding = "0"] = path.split("/");
    const afterMilliseconds = condition === "late" ? LATE_MILLISECONDS : ANSWER_MILLISECONDS;
    if (condition === "silent") {
        return { type: "silent" };
    }
    if (condition === "resetting") {
        return { type: "reset", afterMilliseconds };
    }
    if (condition === "failing") {
        return { type: "answer", status: 500, body: "failed", afterMilliseconds };
    }
    return kind === "orders" || kind === "reads" ? { type: "answer", body, afterMilliseconds } : {
        type: "stream",
        events: Number(size),
        paddingBytes: Number(padding),
        gapMilliseconds: EVENT_GAP_MILLISECONDS,
        firstTokenMilliseconds: afterMilliseconds,
    };
}

/** The engines of a soak; `close` ends them. */
export class SoakEngines {
    readonly all: SoakEngine[] = [];
    readonly #store: PlatformStoreStandIn;
    readonly #log: SoakLog;
    #count = 0;

    constructor(store: PlatformStoreStandIn, log: SoakLog) {
        this.#store = store;
        this.#log = log;
    }

    async add(service: EngineService): Promise<void> {
        this.#count += 1;
        const id = `i-${service}-${this.#count}`;
        const upstream = await PlatformUpstreamStandIn.start({
            id,
            slots: SLOTS,
            behave: request => this.#run(engine, request),
            restart: { afterMilliseconds: RESTART_MILLISECONDS, keepsModels: true },
            ...service === "bag-llm" ? { models: MODELS } : {},
        });
        const engine: SoakEngine = { service, upstream, condition: "sound" };
        upstream.onRestarted = () => this.#announce(engine);
        this.all.push(engine);
        this.#announce(engine);
    }

    /** Lets an engine drain, leave and end, and replaces it. */
    async replace(engine: SoakEngine): Promise<void> {
        this.all.splice(this.all.indexOf(engine), 1);
        this.#announce(engine, "draining");
        this.#log.add({ type: "leave", engine: engine.upstream.id, at: this.#log.now() });
        await this.add(engine.service);
        await delay(DRAIN_MILLISECONDS);
        this.#store.remove(`servers/${engine.upstream.id}`);
        await delay(AFTER_REMOVAL_MILLISECONDS);
        await engine.upstream.close();
    }

    async close(): Promise<void> {
        await Promise.all(this.all.map(({ upstream }) => upstream.close()));
    }

    #announce({ service, upstream }: SoakEngine, state = "ready"): void {
        this.#store.put(`servers/${upstream.id}`, upstream.announcement(service, { state, zone: "casa-a" }));
    }

    #run(engine: SoakEngine, request: ReceivedRequest): Behaviour {
        const { condition, upstream } = engine;
        upstream.received.length = 0;
        const body = renderBody(request.path, request.id);
        const behaviour = chooseBehaviour(condition, request, body);
        this.#log.add({
            type: "run",
            id: request.id,
            engine: upstream.id,
            account: request.headers["flamingospread-tenant"] as string | undefined,
            hasKey: request.headers.authorization !== undefined,
            at: this.#log.now(),
            status: condition === "failing" ? 500 : 200,
            signature: `receipt-${upstream.id}`,
            digest: digestOf(body),
            isSound: condition === "sound" || condition === "late",
        });
        return behaviour;
    }
}
