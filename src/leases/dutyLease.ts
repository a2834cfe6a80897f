/**
 * Runs the decision on a duty: performs its calls on the key-value service and supplies the time.
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
import { parseDocument } from "../platform/parseDocument.js";
import { createDutyLeaseDecision } from "./dutyLeaseDecision.js";
import { type DutyLeaseEffect, type DutyLeaseMessage, type LeaseAnswer, type LeaseCall } from "./messages.js";

const DEFAULT_TICK_MILLISECONDS = 200;

/** Options for `createDutyLease`. */
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
    /** Interval at which the highest-ranked candidate polls for a current holder. Default: 2000. */
    readonly pollMilliseconds?: number;
    /** Interval at which the decision receives a tick. Default: 200. */
    readonly tickMilliseconds?: number;
    /** A monotonic clock, to which the expiry times above refer. Default: `performance.now`. */
    readonly readClock?: () => number;
    /** Default: `Math.random`. */
    readonly random?: RandomSource;
}

/** A duty that this process holds or may acquire. */
export interface DutyLease {
    /** Sets the live hosts, among which candidates are ranked. */
    setHosts(hosts: readonly string[]): void;
    /** Releases the duty and never acquires it again; another host acquires it within a poll interval. */
    leave(): Promise<void>;
    /** Stops immediately without revoking the lease, which then expires on the platform. */
    close(): void;
}

function parseValue<Schema extends z.ZodType>(
    schema: Schema,
    entry: KeyValueEntry | undefined,
): z.infer<Schema> | undefined {
    return entry === undefined ? undefined : parseDocument(schema, parseJson(entry.value)).data;
}

function toFailureAnswer(error: PlatformError): LeaseAnswer {
    return error.kind === "rejected" ? { type: "rejected" } : { type: "unknown" };
}

function toSwapAnswer(outcome: Result<SwapOutcome, PlatformError>): LeaseAnswer {
    if (outcome.isErr()) {
        return toFailureAnswer(outcome.error);
    }
    if (outcome.value.type === "written") {
        return { type: "written" };
    }
    const held = parseValue(heldRecordSchema, outcome.value.current);
    const record = parseValue(leaseRecordSchema, outcome.value.current);
    return { type: "conflict", ...(held && { held }), ...(record && { record }) };
}

/** Performs one call on the key-value service. */
async function performCall(keyValue: KeyValueService, duty: string, request: LeaseCall): Promise<LeaseAnswer> {
    const heldKey = `held/${duty}`;
    const recordKey = `lease/${duty}`;
    switch (request.type) {
        case "read-held": {
            const read = await keyValue.get(heldKey);
            if (read.isErr()) {
                return toFailureAnswer(read.error);
            }
            const held = parseValue(heldRecordSchema, read.value);
            return read.value !== undefined && held === undefined ? { type: "rejected" } : { type: "held", held };
        }
        case "read-record": {
            const read = await keyValue.get(recordKey);
            if (read.isErr()) {
                return toFailureAnswer(read.error);
            }
            const record = parseValue(leaseRecordSchema, read.value);
            const isUnreadable = read.value !== undefined && record === undefined;
            return isUnreadable
                ? { type: "rejected" }
                : { type: "record", record, revision: read.value?.revision ?? 0 };
        }
        case "grant-lease": {
            const granted = await keyValue.grantLease(request.timeToLiveMilliseconds);
            return granted.isOk() ? { type: "granted", lease: granted.value.lease } : toFailureAnswer(granted.error);
        }
        case "create-held": {
            const value = JSON.stringify(request.held);
            const { lease } = request.held;
            return toSwapAnswer(await keyValue.compareAndSwap(heldKey, { expectedRevision: 0, value, lease }));
        }
        case "swap-record": {
            const value = JSON.stringify(request.record);
            const { expectedRevision } = request;
            return toSwapAnswer(await keyValue.compareAndSwap(recordKey, { expectedRevision, value }));
        }
        case "renew-lease": {
            const renewed = await keyValue.renewLease(request.lease);
            return renewed.isOk() ? { type: "renewed", ...renewed.value } : toFailureAnswer(renewed.error);
        }
        case "revoke-lease": {
            const revoked = await keyValue.revokeLease(request.lease);
            return revoked.isOk() ? { type: "written" } : toFailureAnswer(revoked.error);
        }
    }
}

/**
 * Acquires a duty when no other host holds it, and holds it while the key-value service renews its lease.
 *
 * @param options The duty, this process, the key-value service and the callbacks for each change.
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
    const openCalls = new Set<Promise<void>>();
    let isClosed = false;

    function handle(message: DutyLeaseMessage): void {
        if (!isClosed) {
            decision.handle(message, readClock()).forEach(performEffect);
        }
    }

    function startCall(call: number, request: LeaseCall): void {
        const openCall: Promise<void> = performCall(options.keyValue, options.duty, request).then(answer => {
            openCalls.delete(openCall);
            handle({ type: "answered", call, answer });
        });
        openCalls.add(openCall);
    }

    function performEffect(effect: DutyLeaseEffect): void {
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
        isClosed = true;
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
            while (openCalls.size > 0) {
                await Promise.all(openCalls);
            }
            close();
        },
        close,
    };
}
