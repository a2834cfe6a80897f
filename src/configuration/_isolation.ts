/**
 * Distinguishes the isolation of this host from an outage of the key-value service for all hosts.
 *
 * @module
 */

/** Age up to which a confirmation by the key-value service counts as recent. */
export const RECENT_CONFIRMATION_MILLISECONDS = 10_000;

const SAMPLE_RETENTION_MILLISECONDS = 60_000;

interface Sample {
    readonly atMilliseconds: number;
    readonly liveInRegion: number;
}

/** Live hosts according to membership on this host. */
export interface MembershipView {
    readonly liveInZone: readonly string[];
    readonly liveInRegion: number;
    readonly listedLive?: number;
}

/**
 * Records the number of live hosts in the region while the key-value service is confirmed.
 *
 * Without a recent confirmation, a host that still sees at least half of that number assumes an outage of the service;
 * one that sees fewer is isolated. Where the platform's host list is readable, the hosts that it no longer contains are
 * not expected.
 */
export class IsolationDetector {
    #samples: Sample[] = [];

    /**
     * Returns whether this host is isolated.
     *
     * @param view Live hosts at the current time.
     * @param confirmationAgeMilliseconds Age of the latest confirmation; `undefined` for none since the start.
     * @param nowMilliseconds The current time.
     */
    isIsolated(
        view: MembershipView,
        confirmationAgeMilliseconds: number | undefined,
        nowMilliseconds: number,
    ): boolean {
        if (
            confirmationAgeMilliseconds !== undefined && confirmationAgeMilliseconds <= RECENT_CONFIRMATION_MILLISECONDS
        ) {
            this.#recordSample(view, nowMilliseconds);
            return false;
        }
        return view.liveInRegion * 2 < this.#expectedHosts(view);
    }

    #recordSample(view: MembershipView, nowMilliseconds: number): void {
        const recent = this.#samples.filter(sample =>
            nowMilliseconds - sample.atMilliseconds <= SAMPLE_RETENTION_MILLISECONDS
        );
        const last = recent.at(-1);
        if (last?.liveInRegion === view.liveInRegion) {
            recent.pop();
        }
        this.#samples = [...recent, { atMilliseconds: nowMilliseconds, liveInRegion: view.liveInRegion }];
    }

    #expectedHosts(view: MembershipView): number {
        const highestSample = Math.max(0, ...this.#samples.map(sample => sample.liveInRegion));
        return Math.min(highestSample, view.listedLive ?? highestSample);
    }
}
