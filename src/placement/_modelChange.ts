import { type HeldModel } from "../fleet/index.js";
import { type HeldModels } from "./_heldModels.js";
import { OpenLoad, type OpenLoadOptions } from "./_openLoad.js";

/** The model that an engine loads or unloads, of which it carries out one at a time. */
export class ModelChange {
    readonly #held: HeldModels;
    #load: OpenLoad | undefined;
    /**
     * A model that the engine unloads once its last request has ended. Only a report confirms the unload, since an
     * announcement that does not list the model may have been written before the model was loaded.
     */
    #unloading: string | undefined;

    /** @param held The models that the engine holds, to which a loaded one is added. */
    constructor(held: HeldModels) {
        this.#held = held;
    }

    /** True while a model loads or unloads. */
    get isOpen(): boolean {
        return this.#load !== undefined || this.isUnloading;
    }

    get isUnloading(): boolean {
        return this.#unloading !== undefined;
    }

    /** The model that is being loaded. */
    get loading(): string | undefined {
        return this.#load?.model;
    }

    /** Records that the engine loads a model. */
    startLoad(options: OpenLoadOptions, nowMilliseconds: number): void {
        this.#load = new OpenLoad(options, nowMilliseconds);
    }

    /** Records that the engine unloads a model, which counts as absent from now on. */
    startUnload(model: string): void {
        this.#held.delete(model);
        this.#unloading = model;
    }

    /** Records that the engine does not hold a model that it was told to unload. */
    recordUnloaded(model: string): void {
        this.#held.delete(model);
        this.#unloading = undefined;
    }

    /** Returns whether the load is overdue, so that the engine's report must be read; then once an interval. */
    takeOverdue(nowMilliseconds: number): boolean {
        return this.#load?.takeOverdue(nowMilliseconds) === true;
    }

    /** Ends a load that counts as failed; returns whether it does. */
    endFailedLoad(nowMilliseconds: number): boolean {
        if (this.#load?.hasFailed(nowMilliseconds) !== true) {
            return false;
        }
        this.#load = undefined;
        return true;
    }

    /** Ends the load where an announcement lists the model; returns whether it does. */
    endAnnouncedLoad(models: readonly HeldModel[]): boolean {
        const hasEnded = models.some(({ name }) => name === this.loading);
        this.#load = hasEnded ? undefined : this.#load;
        return hasEnded;
    }

    /**
     * Adds the unknown models that an announcement lists; returns whether there were any. It removes none, since an
     * announcement may be older than the last report or order. Removing a model that the engine still holds would let
     * the holder load another one for which the engine has no memory.
     */
    addAnnounced(models: readonly HeldModel[]): boolean {
        return this.#held.addUnknown(this.#withoutUnloading(models));
    }

    /** Replaces models and adapters by those of a report, and keeps the times at which adapters were used. */
    applyReported(models: readonly HeldModel[]): void {
        this.#held.replace(this.#withoutUnloading(models));
        if (this.#load !== undefined && this.#held.has(this.#load.model)) {
            this.#load = undefined;
        }
        if (!models.some(({ name }) => name === this.#unloading)) {
            this.#unloading = undefined;
        }
    }

    /** Forgets what an earlier incarnation of the engine loaded or unloaded. */
    reset(): void {
        this.#load = undefined;
        this.#unloading = undefined;
    }

    #withoutUnloading(models: readonly HeldModel[]): HeldModel[] {
        return models.filter(({ name }) => name !== this.#unloading);
    }
}
