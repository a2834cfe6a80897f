/**
 * Holds a duty under a lease in the key-value service: the shell of the decision.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Result } from "ts-results-es";
import type * as z from "zod";
import { type RandomSource } from "../decision/index.js";
import { heldRecordSchema, leaseRecordSchema } from "../generated/platform.js";
import {
    type KeyValueEntry,
    type KeyValueService,
    parseJson,
    type PlatformError,
    type SwapOutcome,
} from "../platform/index.js";
import { createDutyLeaseDecision } from "./dutyLeaseDecision.js";
import { type DutyLeaseEffect, type DutyLeaseMessage, type LeaseAnswer, type LeaseCall } from "./messages.js";

const DEFAULT_TICK_MILLISECONDS = 200;

/** Options of a duty's lease. */
export interface DutyLeaseOptions {
    readonly duty: string;
    readonly host: string;
    readonly incarnation: string;
    readonly keyValue: KeyValueService;
    readonly onAcquired: (epoch: number, expiresAtMilliseconds: number) => void;
    readonly onRenewed: (expiresAtMilliseconds: number) => void;
    readonly onLost: () => void;
    /** Time to live of the platform lease. Default: 9000. */
    readonly leaseMilliseconds?: number;
    /** Time between two readings by the highest-ranked candidate. Default: 2000. */
    readonly pollMilliseconds?: number;
    /** Default: 200. */
    readonly tickMilliseconds?: number;
    /** A clock that never goes back; the expiry times above are on it. Default: `performance.now`. */
    readonly readClock?: () => number;
    /** Default: `Math.random`. */
    readonly random?: RandomSource;
}

/** A duty that this process holds, or would take. */
export interface DutyLease {
    /** Tells which hosts live; candidates are ranked among them. */
    setHosts(hosts: readonly string[]): void;
    /** Gives the duty up for good, so that another host takes it within a poll. */
    leave(): Promise<void>;
    /** Stops at once; the platform ends the lease in its time. */
    close(): void;
}

function parseValue<Schema extends z.ZodType>(
    schema: Schema,
    entry: KeyValueEntry | undefined,
): z.infer<Schema> | undefined {
    return entry === undefined ? undefined : schema.safeParse(parseJson(entry.value)).data;
}

function answerFailure(error: PlatformError): LeaseAnswer {
    return error.kind === "rejected" ? { type: "rejected" } : { type: "unknown" };
}

function answerSwap(outcome: Result<SwapOutcome, PlatformError>): LeaseAnswer {
    if (outcome.isErr()) {
        return answerFailure(outcome.error);
    }
    if (outcome.value.type === "written") {
        return { type: "written" };
    }
    const held = parseValue(heldRecordSchema, outcome.value.current);
    const record = parseValue(leaseRecordSchema, outcome.value.current);
    return { type: "conflict", ...(held && { held }), ...(record && { record }) };
}

/** Carries out one call on the key-value service. */
async function performCall(keyValue: KeyValueService, duty: string, request: LeaseCall): Promise<LeaseAnswer> {
    const heldKey = `held/${duty}`;
    const recordKey = `lease/${duty}`;
    switch (request.type) {
        case "read-held": {
            const read = await keyValue.get(heldKey);
            if (read.isErr()) {
                return answerFailure(read.error);
            }
            const held = parseValue(heldRecordSchema, read.value);
            return read.value !== undefined && held === undefined ? { type: "rejected" } : { type: "held", held };
        }
        case "read-record": {
            const read = await keyValue.get(recordKey);
            if (read.isErr()) {
                return answerFailure(read.error);
            }
            const record = parseValue(leaseRecordSchema, read.value);
            const unreadable = read.value !== undefined && record === undefined;
            return unreadable ? { type: "rejected" } : { type: "record", record, revision: read.value?.revision ?? 0 };
        }
        case "grant-lease": {
            const granted = await keyValue.grantLease(request.timeToLiveMilliseconds);
            return granted.isOk() ? { type: "granted", lease: granted.value.lease } : answerFailure(granted.error);
        }
        case "create-held": {
            const value = JSON.stringify(request.held);
            const { lease } = request.held;
            return answerSwap(await keyValue.compareAndSwap(heldKey, { expectedRevision: 0, value, lease }));
        }
        case "swap-record": {
            const value = JSON.stringify(request.record);
            const { expectedRevision } = request;
            return answerSwap(await keyValue.compareAndSwap(recordKey, { expectedRevision, value }));
        }
        case "renew-lease": {
            const renewed = await keyValue.renewLease(request.lease);
            return renewed.isOk() ? { type: "renewed", ...renewed.value } : answerFailure(renewed.error);
        }
        case "revoke-lease": {
            const revoked = await keyValue.revokeLease(request.lease);
            return revoked.isOk() ? { type: "written" } : answerFailure(revoked.error);
        }
    }
}

/**
 * Takes a duty whenever no other host holds it, and keeps it while the key-value service renews its lease.
 *
 * @param options The duty, this process, the key-value service and what to call on each change.
 *
 * @example
 * ```ts
 * const lease = createDutyLease({
 *     duty: "residency/bag-llm",
 *     host: "host-1",
 *     incarnation,
 *     keyValue,
 *     onAcquired: (epoch, expiresAtMilliseconds) => startResidency(epoch, expiresAtMilliseconds),
 *     onRenewed: expiresAtMilliseconds => extendResidency(expiresAtMilliseconds),
 *     onLost: () => stopResidency(),
 * });
 * await lease.leave();
 * ```
 */
export function createDutyLease(options: DutyLeaseOptions): DutyLease {
    const readClock = options.readClock ?? (() => performance.now());
    const decision = createDutyLeaseDecision({ ...options, random: options.random ?? Math.random });
    const running = new Set<Promise<void>>();
    let closed = false;

    function handle(message: DutyLeaseMessage): void {
        if (!closed) {
            decision.handle(message, readClock()).forEach(carryOut);
        }
    }

    function startCall(call: number, request: LeaseCall): void {
        const work: Promise<void> = performCall(options.keyValue, options.duty, request).then(answer => {
            running.delete(work);
            handle({ type: "answered", call, answer });
        });
        running.add(work);
    }

    function carryOut(effect: DutyLeaseEffect): void {
        match(effect)
            .with({ type: "call" }, ({ call, request }) => startCall(call, request))
            .with({ type: "acquired" }, ({ epoch, expiresAtMilliseconds }) => {
                options.onAcquired(epoch, expiresAtMilliseconds);
            })
            .with({ type: "renewed" }, ({ expiresAtMilliseconds }) => options.onRenewed(expiresAtMilliseconds))
            .with({ type: "lost" }, () => options.onLost())
            .exhaustive();
    }

    function close(): void {
        closed = true;
        clearInterval(timer);
    }

    const timer = setInterval(() => {
        handle({ type: "tick" });
    }, options.tickMilliseconds ?? DEFAULT_TICK_MILLISECONDS);
    handle({ type: "tick" });
    return {
        setHosts: hosts => handle({ type: "hosts", hosts }),
        async leave() {
            handle({ type: "leave" });
            while (running.size > 0) {
                await Promise.all(running);
            }
            close();
        },
        close,
    };
}
