/**
 * Chooses the hosts that keep the versions of streams which other hosts began.
 *
 * @module
 */
import { hashText, rankByRendezvous } from "../decision/index.js";

/** Streams are kept by group, so that few hosts write into the key-value service however many there are. */
const MAXIMUM_GROUPS = 8;

/** A group for each so many hosts: the fewer hosts write, the more often each may. */
const HOSTS_PER_GROUP = 16;

/** Hosts that keep each stream, in addition to the one that began it. */
const KEEPERS_PER_STREAM = 2;

/** Hosts that are asked for a stream; one more than keep it, since one may have joined since. */
const HOSTS_ASKED = 3;

/**
 * The keepers of streams among some hosts. All hosts that know the same hosts agree on them.
 *
 * @example
 * ```ts
 * const keepers = new StreamKeepers(["entry-1", "entry-2", "entry-3"]);
 * const [first, second] = keepers.keepersOf(stream);
 * ```
 */
export class StreamKeepers {
    /** Number of groups that all streams are divided into. */
    readonly groupCount: number;
    readonly #hostsByGroup: readonly (readonly string[])[];

    /** @param hosts All live hosts. */
    constructor(hosts: readonly string[]) {
        // Powers of two divide the slots of the journal without a remainder.
        const exponent = Math.ceil(Math.log2(Math.max(1, hosts.length / HOSTS_PER_GROUP)));
        this.groupCount = Math.min(MAXIMUM_GROUPS, 2 ** exponent);
        this.#hostsByGroup = Array.from(
            { length: this.groupCount },
            (_, group) => rankByRendezvous(`streams-${group}`, hosts).slice(0, HOSTS_ASKED),
        );
    }

    /** Returns the hosts that keep a stream; the first one writes it into the key-value service. */
    keepersOf(stream: string): readonly string[] {
        return this.candidatesFor(stream).slice(0, KEEPERS_PER_STREAM);
    }

    /** Returns the hosts that may keep a stream. */
    candidatesFor(stream: string): readonly string[] {
        return this.#hostsByGroup[hashText(stream) % this.groupCount] ?? [];
    }
}
