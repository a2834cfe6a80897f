/**
 * Applies a changed configuration through the key-value service.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type IdentifierSource } from "../decision/index.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { type KeyValueService, type PlatformError, type SwapOutcome } from "../platform/types.js";
import { parseDeployment } from "./parse.js";
import { type TextProblem } from "./problems.js";
import { decodeRecordText, encodeRecordText } from "./recordText.js";
import { CONFIGURATION_KEY, decodeConfiguration, readConfiguration, type StoredConfiguration } from "./store.js";

const MAXIMUM_RECORD_BYTES = 1_000_000;
/** Identifiers kept in a record, by which a write whose answer was lost is found after later changes. */
const EARLIER_CHANGES_KEPT = 32;
const WRITE_ATTEMPTS = 5;
const RETRY_DELAY_MILLISECONDS = 500;

/** Options of {@linkcode applyDeployment}. */
export interface ApplyOptions {
    readonly keyValue: Pick<KeyValueService, "get" | "compareAndSwap">;
    /** Name of the configuration file, included in problems. */
    readonly fileName: string;
    /** Name of the operator who makes the change, stored in the record. */
    readonly operator: string;
    readonly createIdentifier: IdentifierSource;
    /** Returns the time of day, stored in the record. */
    readonly readTimeOfDay: () => number;
    readonly wait: (milliseconds: number) => Promise<void>;
    /** Revision on which the operator's configuration is based; another one in force is a conflict. */
    readonly expectedRevision?: number | undefined;
    /** Minimum revision of the change, for a key-value service that lost its data. */
    readonly lowestRevision?: number | undefined;
}

/** A change that was applied, or a configuration that was in force already. */
export interface AppliedChange {
    readonly type: "applied" | "unchanged";
    readonly record: ConfigurationRecord;
    /** Revision of another operator's later change, where it was found in force. */
    readonly supersededBy?: number;
}

/** Why a change is not known to be in force. */
export type ApplyFailure =
    | { readonly type: "invalid"; readonly problems: readonly TextProblem[]; }
    /** Another operator changed the configuration since it was read; this change took no effect. */
    | {
        readonly type: "conflict";
        readonly read: ConfigurationRecord | undefined;
        readonly current: ConfigurationRecord | undefined;
    }
    /** The key-value service returned no usable answer, and this change took no effect. */
    | { readonly type: "unreachable"; readonly message: string; }
    /** The change may or may not have taken effect. */
    | { readonly type: "unknown"; readonly changeIdentifier: string; readonly message: string; };

type ApplyResult = Result<AppliedChange, ApplyFailure>;

function createRecord(text: string, read: StoredConfiguration, options: ApplyOptions): ConfigurationRecord {
    const previous = read.record;
    const earlierChanges = previous === undefined ? [] : [previous.changeIdentifier, ...previous.earlierChanges ?? []];
    return {
        revision: Math.max((previous?.revision ?? 0) + 1, options.lowestRevision ?? 1),
        changeIdentifier: options.createIdentifier(),
        ...encodeRecordText(text),
        appliedAtMilliseconds: options.readTimeOfDay(),
        operator: options.operator,
        earlierChanges: earlierChanges.slice(0, EARLIER_CHANGES_KEPT),
    };
}

function checkSize(record: ConfigurationRecord, fileName: string): readonly TextProblem[] {
    const bytes = Buffer.byteLength(JSON.stringify(record));
    return bytes <= MAXIMUM_RECORD_BYTES ? [] : [{
        fileName,
        line: 1,
        column: 1,
        path: "",
        value: `${bytes} bytes`,
        message: "The configuration is too large for the key-value service",
        allowed: `a configuration whose record has at most ${MAXIMUM_RECORD_BYTES} bytes`,
    }];
}

/**
 * Checks a configuration and applies it, unless another change was applied in between.
 *
 * The write is conditional on the revision that was read. If its answer is lost, the same write is retried: the copy
 * that arrives first takes effect, and the others conflict and find the identifier of this change in the record.
 *
 * @param text The operators' configuration.
 * @param options The key-value service and the data stored in the record.
 * @returns The applied change, or why it is not known to be in force.
 *
 * @example
 * ```ts
 * const outcome = await applyDeployment(text, options);
 * ```
 */
export async function applyDeployment(text: string, options: ApplyOptions): Promise<ApplyResult> {
    const parsed = parseDeployment(text, { fileName: options.fileName });
    if (parsed.isErr()) {
        return new Err({ type: "invalid", problems: parsed.error });
    }
    const read = await readConfiguration(options.keyValue);
    if (read.isErr()) {
        return new Err({ type: "unreachable", message: read.error.message });
    }
    const { record: previous } = read.value;
    const isBelowLowest = (previous?.revision ?? 0) < (options.lowestRevision ?? 0);
    if (previous !== undefined && decodeRecordText(previous).unwrapOr(undefined) === text && !isBelowLowest) {
        return new Ok({ type: "unchanged", record: previous });
    }
    if (options.expectedRevision !== undefined && (previous?.revision ?? 0) !== options.expectedRevision) {
        return new Err({ type: "conflict", read: undefined, current: previous });
    }
    const record = createRecord(text, read.value, options);
    const oversized = checkSize(record, options.fileName);
    return oversized.length > 0
        ? new Err({ type: "invalid", problems: oversized })
        : await write(record, read.value, options);
}

async function write(
    record: ConfigurationRecord,
    read: StoredConfiguration,
    options: ApplyOptions,
): Promise<ApplyResult> {
    const swap = { expectedRevision: read.storeRevision, value: JSON.stringify(record) };
    let mayHaveTakenEffect = false;
    let lastMessage = "";
    for (let attempt = 1; attempt <= WRITE_ATTEMPTS; attempt += 1) {
        const outcome = await options.keyValue.compareAndSwap(CONFIGURATION_KEY, swap);
        if (outcome.isOk()) {
            return resolveSwap(outcome.value, record, read, mayHaveTakenEffect);
        }
        mayHaveTakenEffect ||= isUncertain(outcome.error);
        lastMessage = outcome.error.message;
        if (attempt < WRITE_ATTEMPTS) {
            await options.wait(RETRY_DELAY_MILLISECONDS * attempt);
        }
    }
    return new Err(
        mayHaveTakenEffect
            ? { type: "unknown", changeIdentifier: record.changeIdentifier, message: lastMessage }
            : { type: "unreachable", message: lastMessage },
    );
}

function isUncertain(error: PlatformError): boolean {
    return error.kind !== "not-sent";
}

function resolveSwap(
    outcome: SwapOutcome,
    record: ConfigurationRecord,
    read: StoredConfiguration,
    mayHaveTakenEffect: boolean,
): ApplyResult {
    if (outcome.type === "written") {
        return new Ok({ type: "applied", record });
    }
    const current = decodeConfiguration(outcome.current);
    if (current.isErr()) {
        return unresolvedFailure(record, current.error.message, mayHaveTakenEffect);
    }
    const currentRecord = current.value.record;
    if (currentRecord?.changeIdentifier === record.changeIdentifier) {
        return new Ok({ type: "applied", record });
    }
    if (currentRecord?.earlierChanges?.includes(record.changeIdentifier) === true) {
        return new Ok({ type: "applied", record, supersededBy: currentRecord.revision });
    }
    if (
        mayHaveTakenEffect
        && (currentRecord === undefined || currentRecord.revision - record.revision >= EARLIER_CHANGES_KEPT)
    ) {
        return unresolvedFailure(
            record,
            "the stored record does not show whether this change took effect",
            mayHaveTakenEffect,
        );
    }
    return new Err({ type: "conflict", read: read.record, current: currentRecord });
}

function unresolvedFailure(record: ConfigurationRecord, message: string, mayHaveTakenEffect: boolean): ApplyResult {
    return new Err(
        mayHaveTakenEffect
            ? { type: "unknown", changeIdentifier: record.changeIdentifier, message }
            : { type: "unreachable", message },
    );
}
