/**
 * Runs the claim batcher, which claims order keys in the key-value service.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type ClaimRecord, claimRecordSchema } from "../generated/platform.js";
import {
    type ClaimBatcherEffect,
    type ClaimBatcherMessage,
    createClaimBatcher,
    MAXIMUM_INQUIRY_PEERS,
    type OrdersMessage,
    type VersionedClaims,
} from "../orders/index.js";
import { type KeyValueEntry, parseJson } from "../platform/index.js";
import { parseDocument } from "../platform/parseDocument.js";
import { createIdentifier } from "./clock.js";
import { type HostContext } from "./context.js";
import { createTask } from "./task.js";

const TICK_MILLISECONDS = 20;

/** The running claims task. */
export interface ClaimsTask {
    claim(key: string, bodyHash: string): void;
    /**
     * Triggers another read of the claim records, to prove which keys are absent since the change. Does nothing where
     * there are too many peers for an inquiry, which alone uses that proof.
     */
    handlePeersChanged(count: number): void;
    close(): void;
}

/** Parses a shard's record; returns `undefined` for an invalid entry, which no write may replace. */
function parseClaims(entry: KeyValueEntry | undefined): VersionedClaims | undefined {
    if (entry === undefined) {
        return { revision: 0, record: undefined };
    }
    const record = parseDocument(claimRecordSchema, parseJson(entry.value));
    return record.success ? { revision: entry.revision, record: record.data } : undefined;
}

class ClaimsRunner implements ClaimsTask {
    readonly #context: HostContext;
    readonly #onOutcome: (message: OrdersMessage) => void;
    readonly #task;
    readonly #pending = new Set<string>();

    constructor(context: HostContext, onOutcome: (message: OrdersMessage) => void) {
        this.#context = context;
        this.#onOutcome = onOutcome;
        const batcher = createClaimBatcher({
            identity: context.identity,
            identifiers: createIdentifier,
            wallClockOffsetMilliseconds: performance.timeOrigin,
        });
        this.#task = createTask<ClaimBatcherMessage, ClaimBatcherEffect>(batcher, {
            clock: context.clock,
            perform: effects => effects.forEach(effect => this.#perform(effect)),
            tick: {
                message: { type: "tick" },
                intervalMilliseconds: TICK_MILLISECONDS,
                isIdle: () => this.#pending.size === 0,
            },
        });
    }

    claim(key: string, bodyHash: string): void {
        this.#pending.add(key);
        this.#task.send({ type: "claim", key, bodyHash });
    }

    handlePeersChanged(count: number): void {
        if (count <= MAXIMUM_INQUIRY_PEERS) {
            this.#task.send({ type: "peers-changed" });
        }
    }

    close(): void {
        this.#task.close();
    }

    #perform(effect: ClaimBatcherEffect): void {
        match(effect)
            .with({ type: "read" }, read => void this.#read(read))
            .with({ type: "write" }, write => void this.#write(write))
            .with({ type: "claim-answered" }, { type: "claim-failed" }, outcome => this.#reportOutcome(outcome))
            .exhaustive();
    }

    #reportOutcome(outcome: Extract<ClaimBatcherEffect, { type: "claim-answered" | "claim-failed"; }>): void {
        this.#pending.delete(outcome.key);
        this.#onOutcome(outcome);
    }

    async #read(effect: Extract<ClaimBatcherEffect, { type: "read"; }>): Promise<void> {
        const { attempt, shard, storeKey } = effect;
        const entry = await this.#context.keyValue.get(storeKey);
        const read = entry.isOk() ? parseClaims(entry.value) : undefined;
        this.#task.send(
            read === undefined
                ? { type: "read-failed", attempt, shard }
                : { type: "read-answered", attempt, shard, read },
        );
    }

    async #write(effect: Extract<ClaimBatcherEffect, { type: "write"; }>): Promise<void> {
        const { attempt, shard, storeKey, expectedRevision } = effect;
        const swap = await this.#context.keyValue.compareAndSwap(storeKey, {
            expectedRevision,
            value: serializeRecord(effect.record),
        });
        if (swap.isErr()) {
            this.#context.metrics.increment("platform.errors", { kind: swap.error.kind });
            this.#task.send({ type: "write-failed", attempt, shard, notSent: swap.error.kind === "not-sent" });
            return;
        }
        if (swap.value.type === "written") {
            this.#task.send({ type: "written", attempt, shard, revision: swap.value.revision });
            return;
        }
        const current = parseClaims(swap.value.current);
        this.#task.send(
            current === undefined
                ? { type: "write-failed", attempt, shard, notSent: true }
                : { type: "conflict", attempt, shard, current },
        );
    }
}

function serializeRecord(record: ClaimRecord): string {
    return JSON.stringify(record);
}

/**
 * Starts the claims task.
 *
 * @param context Settings, clients and observability of this host.
 * @param onOutcome Receives the outcome of each claim.
 *
 * @example
 * ```ts
 * const claims = startClaimsTask(context, message => orders.send(message));
 * claims.claim("customer-7/reel-4", bodyHash);
 * ```
 */
export function startClaimsTask(context: HostContext, onOutcome: (message: OrdersMessage) => void): ClaimsTask {
    return new ClaimsRunner(context, onOutcome);
}
