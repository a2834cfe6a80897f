/**
 * Tells a host that is cut off from an outage of the key-value service that everybody sees.
 *
 * @module
 */

/** Age up to which a confirmation by the key-value service counts as recent. */
export const RECENT_CONFIRMATION_MILLISECONDS = 10_000;

const MEMORY_MILLISECONDS = 60_000;

interface Sample {
    readonly atMilliseconds: number;
    readonly liveInRegion: number;
}

/** What a host sees of the others. */
export interface Presence {
    readonly liveInZone: readonly string[];
    readonly liveInRegion: number;
    readonly listedLive?: number;
}

/**
 * Remembers how many hosts of the region lived while the key-value service was last confirmed.
 *
 * Without a recent confirmation, a host that still hears at least half of those hosts sees an outage; one that hears
 * fewer is cut off. Where the platform's list of hosts is readable, hosts that it no longer lists are not expected.
 */
export class IsolationJudge {
    #samples: Sample[] = [];

    /**
     * Judges whether this host is cut off.
     *
     * @param presence What this host sees now.
     * @param confirmedAgo Age of the latest confirmation; `undefined` for none since the start.
     * @param nowMilliseconds The time of the judgement.
     */
    isCutOff(presence: Presence, confirmedAgo: number | undefined, nowMilliseconds: number): boolean {
        if (confirmedAgo !== undefined && confirmedAgo <= RECENT_CONFIRMATION_MILLISECONDS) {
            this.#remember(presence, nowMilliseconds);
            return false;
        }
        return presence.liveInRegion * 2 < this.#expected(presence);
    }

    #remember(presence: Presence, nowMilliseconds: number): void {
        const recent = this.#samples.filter(sample => nowMilliseconds - sample.atMilliseconds <= MEMORY_MILLISECONDS);
        const last = recent.at(-1);
        if (last?.liveInRegion === presence.liveInRegion) {
            recent.pop();
        }
        this.#samples = [...recent, { atMilliseconds: nowMilliseconds, liveInRegion: presence.liveInRegion }];
    }

    #expected(presence: Presence): number {
        const remembered = Math.max(0, ...this.#samples.map(sample => sample.liveInRegion));
        return Math.min(remembered, presence.listedLive ?? remembered);
    }
}
