/**
 * Decides when this host takes the shared state from a peer, and applies what it took.
 *
 * @module
 */
import { type RandomSource } from "../../decision/index.js";
import { type EntryMetrics, type Logger, reportBrokenAnswer } from "../../observability/index.js";
import { type KeyValueEntry } from "../../platform/index.js";
import { type SiteKeys } from "../siteProtocol.js";
import { type ConfigurationInForce } from "./configurationInForce.js";
import { PeerCatchUp } from "./peerCatchUp.js";
import { type StoredEntries } from "./storedEntries.js";

/** Changes that the key-value service or the cell is delivering arrive within this time after a peer's digest. */
const DELIVERY_MILLISECONDS = 300;

/** A configuration that a peer has and this host lacks. */
interface LackedConfiguration {
    /** Version of this host's configuration. */
    readonly ownVersion: number;
    /** Until then its delivery is awaited. */
    readonly awaitedUntilMilliseconds: number;
}

/** Options of {@linkcode StateFromPeers}. */
export interface StateFromPeersOptions {
    readonly keys: SiteKeys;
    readonly configuration: ConfigurationInForce;
    readonly entries: StoredEntries;
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly random: RandomSource;
    readonly readClock: () => number;
    /** Returns the state address of this host. */
    readonly ownAddress: () => string;
    /** Returns the state addresses of the settings. */
    readonly seeds: () => readonly string[];
    /** Returns whether the key-value service answers this host. */
    readonly isServiceReachable: () => boolean;
    /** Returns the state address of a peer whose digest names a newer configuration. */
    readonly newerPeerAddress: (version: number) => string | undefined;
    /** Returns the state address of a host of another cell with a newer configuration. */
    readonly newerCellAddress: (version: number) => string | undefined;
}

/**
 * Takes a newer configuration from peers, and all entries while this host knows no upstreams.
 *
 * @example
 * ```ts
 * const state = new StateFromPeers(options);
 * await state.catchUp();
 * console.log(state.isUpstreamsKnown);
 * ```
 */
export class StateFromPeers {
    readonly #options: StateFromPeersOptions;
    readonly #catchUp: PeerCatchUp;
    #isUpstreamsKnown = false;
    #lacked: LackedConfiguration | undefined;

    constructor(options: StateFromPeersOptions) {
        this.#options = options;
        this.#catchUp = new PeerCatchUp({
            ownAddress: options.ownAddress,
            sourceAddresses: () => this.#sourceAddresses(),
            onBroken: (address, fault) => reportBrokenAnswer(options, { reader: "peer-state", address, fault }),
            applyEntries: (entries, source) => this.#applyEntries(entries, source),
        });
    }

    /** True once the upstreams are known, from the key-value service or from a peer. */
    get isUpstreamsKnown(): boolean {
        return this.#isUpstreamsKnown;
    }

    /** Records that the key-value service listed its entries. */
    recordListed(): void {
        this.#isUpstreamsKnown = true;
    }

    /** Requests the state from peers where some is missing. */
    async catchUp(): Promise<void> {
        await this.#catchUp.run();
    }

    /** Returns a peer with a newer configuration, or the seeds while no upstreams are known. */
    #sourceAddresses(): readonly string[] {
        const { configuration, isServiceReachable, newerCellAddress, newerPeerAddress, seeds } = this.#options;
        const newerPeer = newerPeerAddress(configuration.version);
        if (newerPeer !== undefined) {
            return this.#isDeliveryAwaited() ? [] : [newerPeer];
        }
        this.#lacked = undefined;
        const newerCell = newerCellAddress(configuration.version);
        if (newerCell !== undefined && !isServiceReachable()) {
            return [newerCell];
        }
        return !this.#isUpstreamsKnown && !isServiceReachable() ? seeds() : [];
    }

    /**
     * Returns whether a newer configuration may be on its way, so that no peer is asked yet. Hosts wait for different
     * times, so that those that ask do not all ask at once.
     */
    #isDeliveryAwaited(): boolean {
        const { configuration, isServiceReachable, random, readClock } = this.#options;
        if (!isServiceReachable()) {
            return false;
        }
        if (this.#lacked?.ownVersion !== configuration.version) {
            this.#lacked = {
                ownVersion: configuration.version,
                awaitedUntilMilliseconds: readClock() + DELIVERY_MILLISECONDS * (1 + random()),
            };
        }
        return readClock() < this.#lacked.awaitedUntilMilliseconds;
    }

    #applyEntries(entries: readonly KeyValueEntry[], source: string): void {
        const { configuration, keys, logger } = this.#options;
        logger.info("state taken from a peer", { source, entries: entries.length });
        for (const entry of entries) {
            if (entry.key === keys.configuration) {
                configuration.apply(entry);
            }
            else if (!this.#isUpstreamsKnown) {
                this.#options.entries.put(entry);
            }
        }
        const namesUpstreams = entries.some(({ key }) => key.startsWith(keys.upstreamPrefix));
        this.#isUpstreamsKnown ||= configuration.table !== undefined && namesUpstreams;
    }
}
