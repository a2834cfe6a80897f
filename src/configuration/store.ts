/**
 * The operators' text in the platform's key-value service.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import { type ConfigurationRecord, configurationRecordSchema } from "../generated/platform.js";
import { parseJson } from "../platform/parseJson.js";
import { type KeyValueEntry, type KeyValueService, type PlatformError } from "../platform/types.js";

/** Key of the record that is in force. */
export const CONFIGURATION_KEY = "configuration";

/** A record with the key-value service's own revision of its key, which the next write has to name. */
export interface StoredConfiguration {
    readonly record: ConfigurationRecord | undefined;
    readonly storeRevision: number;
}

/**
 * Decodes an entry of the key-value service.
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
    const parsed = configurationRecordSchema.safeParse(parseJson(entry.value));
    return parsed.success
        ? new Ok({ record: parsed.data, storeRevision: entry.revision })
        : new Err({ kind: "invalid", message: `The stored configuration is no record: ${parsed.error.message}` });
}

/**
 * Reads the record that the key-value service holds.
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
