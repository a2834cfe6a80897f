/**
 * The configuration that this host applies.
 *
 * @module
 */
import { type Logger } from "../../observability/index.js";
import { type KeyValueEntry } from "../../platform/index.js";
import { compileRouteTable, type RouteTable } from "../../routes/index.js";
import { type SiteProtocol } from "../siteProtocol.js";

/** The stored configuration, and the one that it replaces. */
const REMEMBERED_CONFIGURATIONS = 2;

type DecodedConfiguration = ReturnType<SiteProtocol["decodeConfiguration"]>;

/** Options of {@linkcode ConfigurationInForce}. */
export interface ConfigurationInForceOptions {
    readonly decodeConfiguration: SiteProtocol["decodeConfiguration"];
    readonly logger: Logger;
    /** Another version is in force. */
    readonly onChanged: (table: RouteTable) => void;
}

/**
 * Keeps the route table of the latest readable configuration; an older version never replaces a newer one.
 *
 * @example
 * ```ts
 * const configuration = new ConfigurationInForce({ decodeConfiguration, logger, onChanged });
 * configuration.apply(entry);
 * console.log(configuration.version);
 * ```
 */
export class ConfigurationInForce {
    readonly #options: ConfigurationInForceOptions;
    #table: RouteTable | undefined;
    #recent: readonly { readonly value: string; readonly decoded: DecodedConfiguration; }[] = [];

    constructor(options: ConfigurationInForceOptions) {
        this.#options = options;
    }

    /** The route table in force; `undefined` while no configuration is known. */
    get table(): RouteTable | undefined {
        return this.#table;
    }

    /** The version in force; 0 while no configuration is known. */
    get version(): number {
        return this.#table?.version ?? 0;
    }

    /** Puts a stored configuration in force where it is readable and newer than the one in force. */
    apply(entry: KeyValueEntry): void {
        const { logger, onChanged } = this.#options;
        const decoded = this.#decode(entry);
        if (decoded.isErr()) {
            logger.error("configuration not readable", { revision: entry.revision, detail: decoded.error.message });
            return;
        }
        if (decoded.value.version <= (this.#table?.version ?? -1)) {
            return;
        }
        this.#table = compileRouteTable(decoded.value);
        logger.info("configuration in force", {
            version: decoded.value.version,
            revision: entry.revision,
            routes: decoded.value.routes.length,
            services: decoded.value.services.length,
            ...decoded.value.accounts === undefined ? {} : { accounts: decoded.value.accounts.length },
        });
        onChanged(this.#table);
    }

    /** Returns whether a stored configuration is older than the previous one, as in a restored snapshot. */
    isOutdated(entry: KeyValueEntry, previous: KeyValueEntry): boolean {
        const version = this.#versionIn(entry);
        const previousVersion = this.#versionIn(previous);
        return version !== undefined && previousVersion !== undefined && version < previousVersion;
    }

    #versionIn(entry: KeyValueEntry): number | undefined {
        return this.#decode(entry).unwrapOr(undefined)?.version;
    }

    /** Decodes a configuration; each is needed several times in a row, and one with many accounts takes long. */
    #decode({ value }: KeyValueEntry): DecodedConfiguration {
        const known = this.#recent.find(recent => recent.value === value);
        if (known !== undefined) {
            return known.decoded;
        }
        const decoded = this.#options.decodeConfiguration(value);
        this.#recent = [{ value, decoded }, ...this.#recent].slice(0, REMEMBERED_CONFIGURATIONS);
        return decoded;
    }
}
