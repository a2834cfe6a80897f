import { type UpstreamAnnouncement } from "../fleet/index.js";

/** The models that an engine can load without the weight store, and its loads from the store. */
export class LocalWeights {
    /** Models in the engine's host memory or on its disk. */
    #models: ReadonlySet<string> = new Set();
    #storeLoadStarts: number[] = [];

    constructor(announcement: UpstreamAnnouncement) {
        this.applyAnnouncement(announcement);
    }

    get models(): string[] {
        return [...this.#models];
    }

    has(model: string): boolean {
        return this.#models.has(model);
    }

    applyAnnouncement({ localWeights }: UpstreamAnnouncement): void {
        this.#models = new Set([...localWeights.inMemory, ...localWeights.onDisk]);
    }

    /** Records that a load is ordered, which is one from the weight store where the engine has no copy of its own. */
    recordLoad(model: string, nowMilliseconds: number): void {
        if (!this.#models.has(model)) {
            this.#storeLoadStarts.push(nowMilliseconds);
        }
    }

    /** Returns how many loads from the weight store began since the given time; earlier ones are dropped. */
    storeLoadsSince(sinceMilliseconds: number): number {
        this.#storeLoadStarts = this.#storeLoadStarts.filter(at => at >= sinceMilliseconds);
        return this.#storeLoadStarts.length;
    }
}
