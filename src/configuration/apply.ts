/**
 * Changes the configuration that is in force.
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

const MOST_RECORD_BYTES = 1_000_000;
const EARLIER_CHANGES_KEPT = 32;
const WRITE_ATTEMPTS = 5;
const RETRY_DELAY_MILLISECONDS = 500;

/** Options of {@linkcode applyDeployment}. */
export interface ApplyOptions {
    readonly keyValue: Pick<KeyValueService, "get" | "compareAndSwap">;
    /** Stands in problems of the text. */
    readonly fileName: string;
    /** Who makes the change; kept in the record. */
    readonly operator: string;
    readonly createIdentifier: IdentifierSource;
    /** Gives the time of day, kept in the record. */
    readonly readTimeOfDay: () => number;
    readonly wait: (milliseconds: number) => Promise<void>;
    /** Revision that the operator's text started from; a newer one in force is a conflict. */
    readonly expectedRevision?: number | undefined;
    /** Lowest revision to give to the change; for a key-value service that lost what it held. */
    readonly lowestRevision?: number | undefined;
}

/** A change that is in force, or a text that already was. */
export interface AppliedChange {
    readonly type: "applied" | "unchanged";
    readonly record: ConfigurationRecord;
    /** Revision of a later change by somebody else that was seen already. */
    readonly supersededBy?: number;
}

/** Why a change is not known to be in force. */
export type ApplyFailure =
    | { readonly type: "invalid"; readonly problems: readonly TextProblem[]; }
    /** Somebody else changed the configuration since it was read; this change took no effect. */
    | {
        readonly type: "conflict";
        readonly read: ConfigurationRecord | undefined;
        readonly current: ConfigurationRecord | undefined;
    }
    /** The key-value service gave no usable answer, and this change took no effect. */
    | { readonly type: "unreachable"; readonly message: string; }
    /** The change may or may not have taken effect. */
    | { readonly type: "unknown"; readonly changeIdentifier: string; readonly message: string; };

type Applied = Result<AppliedChange, ApplyFailure>;

function createRecord(text: string, read: StoredConfiguration, options: ApplyOptions): ConfigurationRecord {
    const before = read.record;
    const earlier = before === undefined ? [] : [before.changeIdentifier, ...before.earlierChanges ?? []];
    return {
        revision: Math.max((before?.revision ?? 0) + 1, options.lowestRevision ?? 1),
        changeIdentifier: options.createIdentifier(),
        ...encodeRecordText(text),
        appliedAtMilliseconds: options.readTimeOfDay(),
        operator: options.operator,
        earlierChanges: earlier.slice(0, EARLIER_CHANGES_KEPT),
    };
}

function checkSize(record: ConfigurationRecord, fileName: string): readonly TextProblem[] {
    const bytes = Buffer.byteLength(JSON.stringify(record));
    return bytes <= MOST_RECORD_BYTES ? [] : [{
        fileName,
        line: 1,
        column: 1,
        path: "",
        value: `${bytes} bytes`,
        message: "The text is too large for the key-value service",
        allowed: `a text whose record has at most ${MOST_RECORD_BYTES} bytes`,
    }];
}

/**
 * Checks a text and puts it into force, unless somebody else's change came in between.
 *
 * The write names the revision that was read. Where its answer is lost, the same write is sent again: whichever copy
 * arrives first takes effect, and the others meet the change's own identifier.
 *
 * @param text The operators' text.
 * @param options The key-value service and what the record tells.
 * @returns The change in force; or why it is not, or not known to be.
 *
 * @example
 * ```ts
 * const outcome = await applyDeployment(text, options);
 * ```
 */
export async function applyDeployment(text: string, options: ApplyOptions): Promise<Applied> {
    const parsed = parseDeployment(text, { fileName: options.fileName });
    if (parsed.isErr()) {
        return new Err({ type: "invalid", problems: parsed.error });
    }
    const read = await readConfiguration(options.keyValue);
    if (read.isErr()) {
        return new Err({ type: "unreachable", message: read.error.message });
    }
    const { record: before } = read.value;
    const below = (before?.revision ?? 0) < (options.lowestRevision ?? 0);
    if (before !== undefined && decodeRecordText(before).unwrapOr(undefined) === text && !below) {
        return new Ok({ type: "unchanged", record: before });
    }
    if (options.expectedRevision !== undefined && (before?.revision ?? 0) !== options.expectedRevision) {
        return new Err({ type: "conflict", read: undefined, current: before });
    }
    const record = createRecord(text, read.value, options);
    const oversized = checkSize(record, options.fileName);
    return oversized.length > 0
        ? new Err({ type: "invalid", problems: oversized })
        : await write(record, read.value, options);
}

async function write(record: ConfigurationRecord, read: StoredConfiguration, options: ApplyOptions): Promise<Applied> {
    const swap = { expectedRevision: read.storeRevision, value: JSON.stringify(record) };
    let mayHaveTakenEffect = false;
    let lastMessage = "";
    for (let attempt = 1; attempt <= WRITE_ATTEMPTS; attempt += 1) {
        const outcome = await options.keyValue.compareAndSwap(CONFIGURATION_KEY, swap);
        if (outcome.isOk()) {
            return judge(outcome.value, record, read, mayHaveTakenEffect);
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

function judge(
    outcome: SwapOutcome,
    record: ConfigurationRecord,
    read: StoredConfiguration,
    mayHaveTakenEffect: boolean,
): Applied {
    if (outcome.type === "written") {
        return new Ok({ type: "applied", record });
    }
    const current = decodeConfiguration(outcome.current);
    if (current.isErr()) {
        return undecided(record, current.error.message, mayHaveTakenEffect);
    }
    const found = current.value.record;
    if (found?.changeIdentifier === record.changeIdentifier) {
        return new Ok({ type: "applied", record });
    }
    if (found?.earlierChanges?.includes(record.changeIdentifier) === true) {
        return new Ok({ type: "applied", record, supersededBy: found.revision });
    }
    if (mayHaveTakenEffect && (found === undefined || found.revision - record.revision >= EARLIER_CHANGES_KEPT)) {
        return undecided(record, "later changes hide what became of this one", mayHaveTakenEffect);
    }
    return new Err({ type: "conflict", read: read.record, current: found });
}

function undecided(record: ConfigurationRecord, message: string, mayHaveTakenEffect: boolean): Applied {
    return new Err(
        mayHaveTakenEffect
            ? { type: "unknown", changeIdentifier: record.changeIdentifier, message }
            : { type: "unreachable", message },
    );
}
