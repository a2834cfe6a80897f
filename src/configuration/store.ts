/**
 * Reads and decodes the configuration record in the platform's key-value service.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type ConfigurationRecord, configurationRecordSchema } from "../generated/platform.js";
import { parseDocument } from "../platform/parseDocument.js";
import { parseJson } from "../platform/parseJson.js";
import { type KeyValueEntry, type KeyValueService, type PlatformError } from "../platform/types.js";

/** Key of the record that is in force. */
export const CONFIGURATION_KEY = "configuration";

/** The stored record, with the revision of its key in the key-value service on which the next write is conditional. */
export interface StoredConfiguration {
    readonly record: ConfigurationRecord | undefined;
    readonly storeRevision: number;
}

/**
 * Decodes the configuration entry of the key-value service.
 *
 * @param entry The entry under {@linkcode CONFIGURATION_KEY}; `undefined` where the key does not exist.
 *
 * @example
 * ```ts
 * const stored = decodeConfiguration(event.entry);
 * ```
 */
export function decodeConfiguration(entry: KeyValueEntry | undefined): Result<StoredConfiguration, PlatformError> {
    if (entry === undefined) {
        return new Ok({ record: undefined, storeRevision: 0 });
    }
    const parsed = parseDocument(configurationRecordSchema, parseJson(entry.value));
    return parsed.success
        ? new Ok({ record: parsed.data, storeRevision: entry.revision })
        : new Err({
            kind: "invalid",
            message: `The stored configuration does not match its schema: ${parsed.error.message}`,
        });
}

/**
 * Reads the configuration record from the key-value service.
 *
 * @param keyValue The key-value service.
 *
 * @example
 * ```ts
 * const stored = await readConfiguration(keyValue);
 * ```
 */
export async function readConfiguration(
    keyValue: Pick<KeyValueService, "get">,
): Promise<Result<StoredConfiguration, PlatformError>> {
    return (await keyValue.get(CONFIGURATION_KEY)).andThen(decodeConfiguration);
}
