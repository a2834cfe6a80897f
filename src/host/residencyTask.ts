/**
 * Runs the residency decision of one pool, which acts while this host holds the pool's lease.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Deployment } from "../generated/deployment.js";
import { engineRecordSchema } from "../generated/platform.js";
import { type EngineOrder } from "../generated/upstreams.js";
import { createDutyLease, type DutyLease } from "../leases/index.js";
import { parseJson } from "../platform/index.js";
import { parseDocument } from "../platform/parseDocument.js";
import { createResidencyDecision, type ResidencyEffect, type ResidencyMessage } from "../residency/index.js";
import { type HostContext, listEngines, type PoolEngine } from "./context.js";
import { type HostEvent } from "./events.js";
import { createTask } from "./task.js";

const TICK_MILLISECONDS = 200;
const REPORT_INTERVAL_MILLISECONDS = 1000;
const MAXIMUM_EXPLANATIONS = 50;

/** Reason for a placement action, or for not carrying it out. */
export interface Explanation {
    readonly action: string;
    readonly engine: string | undefined;
    readonly name: string;
    readonly reason: string;
}

/** The running residency task of one pool. */
export interface ResidencyTask {
    readonly holdsLease: boolean;
    /** Returns the latest explanations, oldest first. */
    explanations(): readonly Explanation[];
    /** Stops the task and releases the lease. */
    close(): Promise<void>;
}

/** Options of `startResidencyTask`. */
export interface ResidencyTaskOptions {
    readonly pool: string;
    readonly deployment: Deployment;
    readonly revision: number;
    /** Names of the live hosts, this one included, from which candidates for the lease are ranked. */
    readonly hosts: readonly string[];
}

class ResidencyRunner implements ResidencyTask {
    readonly #context: HostContext;
    readonly #pool: string;
    readonly #task;
    readonly #lease: DutyLease;
    readonly #reportTimer: NodeJS.Timeout;
    readonly #explanations: Explanation[] = [];
    #engines = new Map<string, PoolEngine>();
    #holdsLease = false;
    readonly #unsubscribe: () => void;

    constructor(context: HostContext, options: ResidencyTaskOptions) {
        this.#context = context;
        this.#pool = options.pool;
        const { pool } = options;
        const { host } = context.identity;
        const { createIdentifier, identifierPrefix } = context.traces.createSources();
        const decision = createResidencyDecision({ pool, host, createIdentifier });
        const traced = context.traces.wrap("residency", { pool, host, identifierPrefix }, decision);
        this.#task = createTask<ResidencyMessage, ResidencyEffect>(traced, {
            clock: context.clock,
            perform: effects => effects.forEach(effect => this.#perform(effect)),
            tick: {
                message: { type: "tick" },
                intervalMilliseconds: TICK_MILLISECONDS,
                isIdle: () => !this.#holdsLease,
            },
        });
        this.#applyDeployment(options.deployment, options.revision);
        this.#unsubscribe = context.events.subscribe(event => this.#handleEvent(event));
        this.#lease = this.#startLease(options);
        this.#reportTimer = setInterval(() => this.#readReports(), REPORT_INTERVAL_MILLISECONDS);
    }

    get holdsLease(): boolean {
        return this.#holdsLease;
    }

    explanations(): readonly Explanation[] {
        return this.#explanations;
    }

    async close(): Promise<void> {
        this.#unsubscribe();
        clearInterval(this.#reportTimer);
        this.#task.close();
        await this.#lease.leave();
    }

    #startLease(options: ResidencyTaskOptions): DutyLease {
        const context = this.#context;
        const lease = createDutyLease({
            duty: `residency/${options.pool}`,
            host: context.identity.host,
            incarnation: context.identity.incarnation,
            keyValue: context.keyValue,
            readClock: context.clock,
            random: context.random,
            onAcquired: (epoch, expiresAtMilliseconds) => {
                this.#holdsLease = true;
                context.logger.info("lease acquired", { pool: this.#pool, epoch });
                this.#task.send({ type: "lease-acquired", epoch, expiresAtMilliseconds });
                this.#readReports();
            },
            onRenewed: expiresAtMilliseconds => this.#task.send({ type: "lease-renewed", expiresAtMilliseconds }),
            onLost: () => {
                this.#holdsLease = false;
                context.logger.warn("lease lost", { pool: this.#pool });
                this.#task.send({ type: "lease-lost" });
            },
        });
        lease.setHosts(options.hosts);
        return lease;
    }

    #handleEvent(event: HostEvent): void {
        match(event)
            .with(
                { type: "deployment-activated" },
                ({ deployment, record }) => this.#applyDeployment(deployment, record.revision),
            )
            .with(
                { type: "peers-changed" },
                ({ live }) => this.#lease.setHosts([this.#context.identity, ...live].map(({ host }) => host)),
            )
            .with({ type: "demand" }, ({ demand }) => this.#task.send({ type: "demand", demand }))
            .with({ type: "engines-leaving" }, ({ engines }) => this.#task.send({ type: "engines-leaving", engines }))
            .with(
                { type: "adapter-wanted" },
                ({ adapterRequest }) => this.#task.send({ type: "adapter-wanted", ...adapterRequest }),
            )
            .otherwise(() => undefined);
    }

    #applyDeployment(deployment: Deployment, revision: number): void {
        const engines = listEngines(deployment).filter(engine => engine.pool === this.#pool);
        this.#engines = new Map(engines.map(engine => [engine.name, engine]));
        this.#task.send({ type: "deployment", deployment, revision });
    }

    #readReports(): void {
        if (!this.#holdsLease) {
            return;
        }
        for (const engine of this.#engines.keys()) {
            void this.#readReport(engine);
        }
    }

    async #readReport(name: string, readIdentifier?: string): Promise<void> {
        const engine = this.#engines.get(name);
        const report = engine === undefined
            ? undefined
            : await this.#context.engines.get(name, engine.url).readReport();
        if (report?.isOk() !== true) {
            this.#task.send({ type: "engine-unreachable", engine: name });
            return;
        }
        const identifierField = readIdentifier === undefined ? {} : { readIdentifier };
        this.#task.send({ type: "engine-reported", report: report.value, ...identifierField });
    }

    #perform(effect: ResidencyEffect): void {
        match(effect)
            .with({ type: "read-record" }, ({ engine }) => void this.#readRecord(engine))
            .with({ type: "write-record" }, write => void this.#writeRecord(write))
            .with(
                { type: "read-report" },
                ({ engine, readIdentifier }) => void this.#readReport(engine, readIdentifier),
            )
            .with(
                { type: "send-order" },
                ({ engine, incarnation, order }) => void this.#sendOrder(engine, { incarnation, order }),
            )
            .with(
                { type: "publish-residency" },
                ({ digest }) => this.#context.events.publish({ type: "residency", digest, origin: "holder" }),
            )
            .with(
                { type: "explain" },
                ({ action, engine, name, reason }) => this.#explain({ action, engine, name, reason }),
            )
            .exhaustive();
    }

    #recordKey(engine: string): string {
        return `engine/${this.#pool}/${engine}`;
    }

    async #readRecord(engine: string): Promise<void> {
        const entry = await this.#context.keyValue.get(this.#recordKey(engine));
        if (entry.isErr()) {
            this.#context.metrics.increment("platform.errors", { kind: entry.error.kind });
            this.#task.send({ type: "record-read-failed", engine });
            return;
        }
        const record = entry.value === undefined
            ? undefined
            : parseDocument(engineRecordSchema, parseJson(entry.value.value));
        if (record?.success === false) {
            this.#context.logger.error("an engine's record does not fit its schema", { engine });
            this.#task.send({ type: "record-read-failed", engine });
            return;
        }
        this.#task.send({
            type: "record-read",
            engine,
            record: record?.data,
            storeRevision: entry.value?.revision ?? 0,
        });
    }

    async #writeRecord(write: Extract<ResidencyEffect, { type: "write-record"; }>): Promise<void> {
        const { engine, record, expectedStoreRevision: expectedRevision } = write;
        const { writeIdentifier } = record;
        const swap = await this.#context.keyValue.compareAndSwap(this.#recordKey(engine), {
            expectedRevision,
            value: JSON.stringify(record),
        });
        if (swap.isErr()) {
            this.#context.metrics.increment("platform.errors", { kind: swap.error.kind });
            this.#task.send({ type: "record-write-unknown", engine, writeIdentifier });
        }
        else if (swap.value.type === "conflict") {
            this.#task.send({ type: "record-conflict", engine, writeIdentifier });
        }
        else {
            this.#task.send({ type: "record-written", engine, writeIdentifier, storeRevision: swap.value.revision });
        }
    }

    async #sendOrder(
        name: string,
        addressedOrder: { readonly incarnation: string; readonly order: EngineOrder; },
    ): Promise<void> {
        const engine = this.#engines.get(name);
        const { incarnation, order } = addressedOrder;
        this.#countOrder(order);
        if (engine === undefined) {
            this.#task.send({ type: "order-not-sent", engine: name, order });
            return;
        }
        const answer = await this.#context.engines.get(name, engine.url).sendOrder(order, incarnation);
        if (answer.isOk()) {
            this.#task.send({ type: "order-answered", engine: name, order, answer: answer.value });
            return;
        }
        this.#context.logger.warn("engine order without an answer", {
            engine: name,
            order: order.kind,
            name: order.name,
            cause: answer.error.message,
        });
        const type = answer.error.kind === "not-sent" ? "order-not-sent" : "order-unanswered";
        this.#task.send({ type, engine: name, order });
    }

    #countOrder(order: EngineOrder): void {
        const pool = this.#pool;
        match(order.kind)
            .with("load-model", () => this.#context.metrics.increment("residency.loads", { pool, kind: "model" }))
            .with("load-adapter", () => this.#context.metrics.increment("residency.loads", { pool, kind: "adapter" }))
            .with("evict-model", () => this.#context.metrics.increment("residency.evictions", { pool, kind: "model" }))
            .with(
                "evict-adapter",
                () => this.#context.metrics.increment("residency.evictions", { pool, kind: "adapter" }),
            )
            .with("change-role", () => this.#context.metrics.increment("residency.role_changes", { pool }))
            .exhaustive();
    }

    #explain(explanation: Explanation): void {
        this.#context.logger.info("placement", { pool: this.#pool, ...explanation });
        this.#explanations.push(explanation);
        this.#explanations.splice(0, this.#explanations.length - MAXIMUM_EXPLANATIONS);
    }
}

/**
 * Starts the residency task of one pool.
 *
 * @param context Settings, clients and observability of this host.
 * @param options The pool, the deployment in force and the live hosts.
 *
 * @example
 * ```ts
 * const residency = startResidencyTask(context, { pool: "bag-llm", deployment, revision: 3, hosts });
 * await residency.close();
 * ```
 */
export function startResidencyTask(context: HostContext, options: ResidencyTaskOptions): ResidencyTask {
    return new ResidencyRunner(context, options);
}
