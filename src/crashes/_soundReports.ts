/**
 * Word that attributes are sound, as it is repeated to peers for a while.
 *
 * @module
 */
import { type CrashNews } from "./_crashNews.js";
import { type Proofs } from "./_proofs.js";
import { REPEAT_MILLISECONDS } from "./_reportLimits.js";
import { type SoundAttribute } from "./types.js";

/** Limit of the list in a report, which shares a datagram with the rest of a digest. */
const MAXIMUM_SOUND = 64;

interface SoundReport {
    readonly sinceMilliseconds: number;
    /** Whether this host tells it to its peers; representatives pass on what peers told as well. */
    readonly isOwn: boolean;
}

/** The attributes that others should be told are sound. */
export class SoundReports {
    readonly #reports = new Map<string, SoundReport>();
    readonly #proofs: Proofs;
    readonly #news: CrashNews;

    constructor(proofs: Proofs, news: CrashNews) {
        this.#proofs = proofs;
        this.#news = news;
    }

    /** Tells the peers at once of an answer on an attribute that some host suspects or has convicted. */
    tell(attribute: string, nowMilliseconds: number): void {
        if (this.#reports.get(attribute)?.isOwn !== true) {
            this.#reports.set(attribute, { sinceMilliseconds: nowMilliseconds, isOwn: true });
            this.#news.announce();
        }
    }

    /** Records that a peer told it, so that a representative passes it on. */
    recordTold(attribute: string, nowMilliseconds: number): void {
        this.#reports.set(attribute, { sinceMilliseconds: nowMilliseconds, isOwn: false });
    }

    /** Returns what is told to peers, with the age of the latest answer on each attribute. */
    describe(
        isIncluded: (entry: { readonly isOwn: boolean; }) => boolean,
        nowMilliseconds: number,
    ): SoundAttribute[] {
        const reports = [...this.#reports].filter(([, entry]) =>
            isIncluded(entry) && nowMilliseconds - entry.sinceMilliseconds <= REPEAT_MILLISECONDS
        );
        return reports.slice(-MAXIMUM_SOUND).flatMap(([attribute]) => {
            const answeredAt = this.#proofs.lastAnswerMilliseconds(attribute);
            return answeredAt === undefined
                ? []
                : [{ attribute, ageMilliseconds: Math.max(0, Math.round(nowMilliseconds - answeredAt)) }];
        });
    }

    /** Drops what has been repeated for long enough. */
    expire(nowMilliseconds: number): void {
        for (const [attribute, { sinceMilliseconds }] of this.#reports) {
            if (nowMilliseconds - sinceMilliseconds > REPEAT_MILLISECONDS) {
                this.#reports.delete(attribute);
            }
        }
    }
}
