/**
 * The hosts whose consent a holder needs to go on during an outage of the key-value service.
 *
 * @module
 */
import { firstWitnesses } from "./candidates.js";

/** The fleet as a holder knows it. */
export interface KnownFleet {
    /** True while the service answers the holder. */
    readonly serviceAnswers: boolean;
    /** The other hosts of the holder's cell that may hold engines. */
    readonly cellHosts: readonly string[];
    /** All other hosts that may take engines over. */
    readonly possibleTakers: readonly string[];
    readonly engineCount: number;
}

/**
 * Remembers whose consent a holder needs. During an outage hosts are added, and only those are removed that say that
 * they leave: a host that is cut off looks like one that is gone, and may take engines over.
 *
 * @example
 * ```ts
 * const witnesses = new OutageWitnesses("entry-1");
 * witnesses.recordFleet({ serviceAnswers: true, cellHosts: ["entry-2"], possibleTakers: ["entry-2"], engineCount: 8 });
 * witnesses.hosts(); // ["entry-2"]
 * ```
 */
export class OutageWitnesses {
    readonly #host: string;
    readonly #hosts = new Set<string>();
    readonly #leaving = new Set<string>();
    /** The fleet when the service last answered, until it is ranked. */
    #unranked: KnownFleet | undefined;

    constructor(host: string) {
        this.#host = host;
    }

    /** Records the fleet as known now, in place of what was known if the service answers. */
    recordFleet(fleet: KnownFleet): void {
        if (fleet.serviceAnswers) {
            this.#hosts.clear();
            this.#leaving.clear();
            this.#unranked = fleet;
            return;
        }
        this.#rankKnown();
        this.#add(fleet);
    }

    /** Adds the fleet of when the service last answered; it is not ranked again and again before an outage. */
    #rankKnown(): void {
        const fleet = this.#unranked;
        this.#unranked = undefined;
        if (fleet !== undefined) {
            this.#add(fleet);
        }
    }

    #add({ cellHosts, engineCount, possibleTakers }: KnownFleet): void {
        this.recordCellHosts(cellHosts);
        for (const host of firstWitnesses([this.#host, ...possibleTakers], engineCount)) {
            this.#hosts.add(host);
        }
        this.#hosts.delete(this.#host);
    }

    /** Adds the other hosts of the own cell that may hold engines. */
    recordCellHosts(cellHosts: readonly string[]): void {
        cellHosts.forEach(host => this.#hosts.add(host));
    }

    /** Records whether a host says that it leaves, and knows of no later holder; it then takes no engine over. */
    recordLeaving(host: string, leaving: boolean): void {
        if (leaving) {
            this.#leaving.add(host);
        }
        else {
            this.#leaving.delete(host);
        }
    }

    /** Returns the hosts whose consent is needed. */
    hosts(): string[] {
        this.#rankKnown();
        return [...this.#hosts].filter(host => !this.#leaving.has(host));
    }
}
