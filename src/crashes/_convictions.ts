/**
 * Attributes that are known to crash upstreams.
 *
 * @module
 */
import { type Conviction } from "./types.js";

/** The first conviction ends soon, with one request tried, since the crashes may have been a coincidence. */
const FIRST_TERM_MILLISECONDS = 30_000;

/** After this time one request with the attributes is tried, since upstreams may have been mended. */
const TERM_MILLISECONDS = 3_600_000;

/** Each conviction after the second lasts twice as long as the one before it, up to this. */
const MAXIMUM_TERM_MILLISECONDS = 8 * TERM_MILLISECONDS;

/** After a term, a single crash convicts again for this long. */
const PROBATION_MILLISECONDS = 24 * TERM_MILLISECONDS;

/** Bounds memory; the one whose requests have not come for the longest time is dropped. */
const MAXIMUM_CONVICTIONS = 256;

/** A conviction as this host keeps it. */
export interface KnownConviction {
    readonly key: string;
    readonly attributes: readonly string[];
    readonly crashes: number;
    readonly convictedAtMilliseconds: number;
    readonly endsAtMilliseconds: number;
    lastRefusedMilliseconds: number;
}

function keyOf(attributes: readonly string[]): string {
    return [...attributes].sort().join("+");
}

function nextTermMilliseconds({ convictedAtMilliseconds, endsAtMilliseconds }: KnownConviction): number {
    const termMilliseconds = endsAtMilliseconds - convictedAtMilliseconds;
    return Math.min(MAXIMUM_TERM_MILLISECONDS, Math.max(TERM_MILLISECONDS, 2 * termMilliseconds));
}

/** Returns a conviction with its ages as of now. */
export function describeConviction(
    { attributes, convictedAtMilliseconds, crashes, endsAtMilliseconds }: KnownConviction,
    nowMilliseconds: number,
): Conviction {
    return {
        attributes,
        crashes,
        ageMilliseconds: Math.max(0, Math.round(nowMilliseconds - convictedAtMilliseconds)),
        remainingMilliseconds: Math.max(0, Math.round(endsAtMilliseconds - nowMilliseconds)),
    };
}

/** Convictions that hold, and those whose term has ended. */
export class Convictions {
    readonly #convictions = new Map<string, KnownConviction>();

    /** Returns all convictions, those on probation included. */
    all(): IterableIterator<KnownConviction> {
        return this.#convictions.values();
    }

    /** Returns whether an attribute is convicted, by itself or with others, or was. */
    concerns(attribute: string): boolean {
        return [...this.#convictions.values()].some(({ attributes }) => attributes.includes(attribute));
    }

    /** Returns the convictions that hold, latest first. */
    holding(nowMilliseconds: number): KnownConviction[] {
        return [...this.#convictions.values()]
            .filter(({ endsAtMilliseconds }) => nowMilliseconds < endsAtMilliseconds)
            .sort((left, right) => right.convictedAtMilliseconds - left.convictedAtMilliseconds);
    }

    /** Returns a conviction of which a request has all attributes, one that holds first. */
    find(attributes: readonly string[], nowMilliseconds: number): KnownConviction | undefined {
        if (this.#convictions.size === 0) {
            return undefined;
        }
        const matching = [...this.#convictions.values()].filter(conviction =>
            conviction.attributes.every(attribute => attributes.includes(attribute))
        );
        return matching.find(({ endsAtMilliseconds }) => nowMilliseconds < endsAtMilliseconds) ?? matching[0];
    }

    /** Convicts attributes by evidence; each conviction lasts longer than the one before it. */
    convict(attributes: readonly string[], crashes: number, nowMilliseconds: number): KnownConviction {
        const previous = this.#convictions.get(keyOf(attributes));
        const term = previous === undefined ? FIRST_TERM_MILLISECONDS : nextTermMilliseconds(previous);
        return this.#put({
            key: keyOf(attributes),
            attributes: [...attributes],
            crashes,
            convictedAtMilliseconds: nowMilliseconds,
            endsAtMilliseconds: nowMilliseconds + term,
            lastRefusedMilliseconds: nowMilliseconds,
        });
    }

    /** Records a peer's conviction; returns it where it is news. */
    receive(conviction: Conviction, nowMilliseconds: number): KnownConviction | undefined {
        const key = keyOf(conviction.attributes);
        const known = this.#convictions.get(key);
        if (conviction.remainingMilliseconds <= 0) {
            return undefined;
        }
        if (known !== undefined && nowMilliseconds < known.endsAtMilliseconds) {
            return undefined;
        }
        return this.#put({
            key,
            attributes: [...conviction.attributes],
            crashes: conviction.crashes,
            convictedAtMilliseconds: nowMilliseconds - conviction.ageMilliseconds,
            endsAtMilliseconds: nowMilliseconds + Math.min(conviction.remainingMilliseconds, MAXIMUM_TERM_MILLISECONDS),
            lastRefusedMilliseconds: nowMilliseconds,
        });
    }

    remove(conviction: KnownConviction): void {
        this.#convictions.delete(conviction.key);
    }

    /** Drops convictions whose probation has ended. */
    expire(nowMilliseconds: number): void {
        for (const conviction of this.#convictions.values()) {
            if (nowMilliseconds - conviction.endsAtMilliseconds > PROBATION_MILLISECONDS) {
                this.remove(conviction);
            }
        }
    }

    /** Adds a conviction, and drops those that it makes superfluous. */
    #put(conviction: KnownConviction): KnownConviction {
        for (const other of this.#convictions.values()) {
            if (conviction.attributes.every(attribute => other.attributes.includes(attribute))) {
                this.remove(other);
            }
        }
        this.#convictions.set(conviction.key, conviction);
        if (this.#convictions.size > MAXIMUM_CONVICTIONS) {
            this.#dropLeastUsed();
        }
        return conviction;
    }

    #dropLeastUsed(): void {
        const [leastUsed] = [...this.#convictions.values()].sort((left, right) =>
            left.lastRefusedMilliseconds - right.lastRefusedMilliseconds
        );
        if (leastUsed !== undefined) {
            this.remove(leastUsed);
        }
    }
}
