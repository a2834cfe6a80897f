/**
 * Decides whether this host is partitioned from all upstreams while other hosts reach them.
 *
 * @module
 */

/** A peer's statement shows that it heard upstreams after this host last did if it comes this much later. */
const STATEMENT_DELAY_MILLISECONDS = 500;

/** A peer's statement counts for this long. */
const STATEMENT_LIFETIME_MILLISECONDS = 1_600;

/** What a host has observed itself. */
export interface PartitionEvidence {
    /** When an upstream was last heard. */
    readonly heardAtMilliseconds: number;
    /** When connections to upstreams were last tried without success; `undefined` where none was tried since. */
    readonly probesFailedAtMilliseconds: number | undefined;
}

/**
 * A host that hears no upstream is partitioned only if another host hears some: where nobody does, the upstreams are
 * gone, and callers find nothing better elsewhere.
 *
 * @example
 * ```ts
 * const detector = new PartitionDetector();
 * detector.recordStatement("entry-2", true, now);
 * const isPartitioned = detector.decide(evidence, now);
 * ```
 */
export class PartitionDetector {
    /** When each other host last said that it hears upstreams. */
    readonly #hearingAt = new Map<string, number>();

    /** Records whether a peer, or some host of the other cells, says that it hears upstreams. */
    recordStatement(source: string, isHearing: boolean, nowMilliseconds: number): void {
        if (isHearing) {
            this.#hearingAt.set(source, nowMilliseconds);
        }
        else {
            this.#hearingAt.delete(source);
        }
    }

    /** Returns whether this host is partitioned from the upstreams. */
    decide({ heardAtMilliseconds, probesFailedAtMilliseconds }: PartitionEvidence, nowMilliseconds: number): boolean {
        if (probesFailedAtMilliseconds === undefined || probesFailedAtMilliseconds < heardAtMilliseconds) {
            return false;
        }
        return [...this.#hearingAt.values()].some(at =>
            at - heardAtMilliseconds >= STATEMENT_DELAY_MILLISECONDS
            && nowMilliseconds - at < STATEMENT_LIFETIME_MILLISECONDS
        );
    }
}
