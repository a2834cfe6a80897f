/**
 * Records of the fleet's hosts and of the engines' holders in the key-value service.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import {
    engineHolderSchema,
    hostRegistrationSchema,
    readEngineHolder,
    readHostRegistration,
} from "../../generated/gossip.js";
import { type PeerTable } from "../../gossip/index.js";
import { type Logger } from "../../observability/index.js";
import { type KeyValueEntry } from "../../platform/index.js";
import { parseDocument } from "../../platform/parseDocument.js";
import { parseJson } from "../../platform/parseJson.js";

/** Key prefix of the records that name engines' holders. */
export const HOLDER_KEY_PREFIX = "holders/";

/** Options of {@linkcode FleetRecords}. */
export interface FleetRecordsOptions {
    readonly host: string;
    readonly duties: EngineDuties;
    readonly peers: PeerTable;
    readonly logger: Logger;
    readonly readClock: () => number;
    /** A host was registered or its record was removed. */
    readonly onHostsChanged: () => void;
    /** The record of this host was removed. */
    readonly onOwnRecordRemoved: () => void;
}

/**
 * Applies the records of hosts and holders to the peer table and to the engines' duties.
 *
 * @example
 * ```ts
 * const records = new FleetRecords(options);
 * records.applyRegistration({ key: "hosts/entry-2", value, revision: 41 });
 * records.removeHolder("engine-3");
 * ```
 */
export class FleetRecords {
    readonly #options: FleetRecordsOptions;

    constructor(options: FleetRecordsOptions) {
        this.#options = options;
    }

    /** Applies the record with which a host registered. */
    applyRegistration(entry: KeyValueEntry): void {
        const { duties, host, logger, onHostsChanged, peers, readClock } = this.#options;
        const value = parseJson(entry.value);
        const record = readHostRegistration(value) ?? parseDocument(hostRegistrationSchema, value).data;
        if (record === undefined) {
            logger.warn("host record not readable", { key: entry.key, revision: entry.revision });
            return;
        }
        if (record.host !== host) {
            duties.setSession(record.host, record.session, readClock());
        }
        peers.register(record, readClock());
        onHostsChanged();
    }

    /** Handles the removal of a host's record. */
    removeRegistration(removed: string): void {
        const { duties, host, onHostsChanged, onOwnRecordRemoved, peers, readClock } = this.#options;
        duties.setSession(removed, undefined, readClock());
        peers.unregister(removed, readClock());
        onHostsChanged();
        if (removed === host) {
            onOwnRecordRemoved();
        }
    }

    /** Applies the record that names an engine's holder. */
    applyHolder(engine: string, entry: KeyValueEntry): void {
        const { duties, logger, readClock } = this.#options;
        const value = parseJson(entry.value);
        const record = readEngineHolder(value) ?? parseDocument(engineHolderSchema, value).data;
        if (record === undefined) {
            logger.warn("holder record not readable", { key: entry.key, revision: entry.revision });
            return;
        }
        duties.setHolder(engine, { ...record, revision: entry.revision }, readClock());
    }

    /** Handles the removal of the record that named an engine's holder. */
    removeHolder(engine: string): void {
        const { duties, readClock } = this.#options;
        duties.setHolder(engine, undefined, readClock());
    }
}
