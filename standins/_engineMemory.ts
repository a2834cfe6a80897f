/**
 * Memory of an engine stand-in: its models, adapters and role, which orders change.
 *
 * @module
 */
import { type EngineOrder, type EngineOrderAnswer } from "../src/generated/upstreams.js";

/** A model or an adapter. It occupies memory from the start of its load to the end of its eviction. */
interface MemoryEntry {
    readonly kind: "model" | "adapter";
    readonly name: string;
    readonly version: string;
    readonly megabytes: number;
    ready: boolean;
}

/** Options of an engine's memory. */
export interface EngineMemoryOptions {
    readonly memoryMegabytes: number;
    readonly checksFencing: boolean;
    readonly roleMegabytes: Readonly<Record<string, number>>;
    /** Resolves once the weights have been read. */
    readonly readWeights: (kind: "model" | "adapter", name: string) => Promise<void>;
    readonly onViolation: (message: string) => void;
}

function entryKey(kind: string, name: string, version: string): string {
    return `${kind}/${name}/${version}`;
}

/** Memory of one incarnation of an engine. */
export class EngineMemory {
    readonly #options: EngineMemoryOptions;
    readonly #entries = new Map<string, MemoryEntry>();
    #highestFencing = { epoch: 0, sequence: 0 };
    role = "";
    loads = 0;
    evictions = 0;

    constructor(options: EngineMemoryOptions) {
        this.#options = options;
    }

    usedMegabytes(): number {
        const entriesMegabytes = [...this.#entries.values()].reduce((sum, { megabytes }) => sum + megabytes, 0);
        return entriesMegabytes + this.#roleMegabytes(this.role);
    }

    models(): { name: string; version: string; }[] {
        return this.#readyEntries("model").map(({ name, version }) => ({ name, version }));
    }

    adapters(): string[] {
        return this.#readyEntries("adapter").map(({ name }) => name);
    }

    async apply(order: EngineOrder): Promise<Omit<EngineOrderAnswer, "incarnation">> {
        if (!this.#acceptsFencing(order)) {
            return { outcome: "refused-fencing" };
        }
        switch (order.kind) {
            case "load-model":
                return this.#load("model", order);
            case "load-adapter":
                return this.#load("adapter", order);
            case "evict-model":
                return this.#evict("model", order);
            case "evict-adapter":
                return this.#evict("adapter", order);
            case "change-role":
                return this.#changeRole(order.name);
        }
    }

    #readyEntries(kind: MemoryEntry["kind"]): MemoryEntry[] {
        const ready = [...this.#entries.values()].filter(entry => entry.kind === kind && entry.ready);
        return ready.sort((left, right) => left.name < right.name ? -1 : 1);
    }

    #roleMegabytes(role: string): number {
        return this.#options.roleMegabytes[role] ?? 0;
    }

    #acceptsFencing({ fencing }: EngineOrder): boolean {
        const { epoch, sequence } = this.#highestFencing;
        const isOutdated = fencing.epoch < epoch || (fencing.epoch === epoch && fencing.sequence < sequence);
        if (!isOutdated) {
            this.#highestFencing = { ...fencing };
        }
        return !isOutdated || !this.#options.checksFencing;
    }

    #fits(addedMegabytes: number, purpose: string): boolean {
        const neededMegabytes = this.usedMegabytes() + addedMegabytes;
        if (neededMegabytes <= this.#options.memoryMegabytes) {
            return true;
        }
        this.#options.onViolation(`${purpose}: ${neededMegabytes} of ${this.#options.memoryMegabytes} megabytes`);
        return false;
    }

    async #load(kind: MemoryEntry["kind"], order: EngineOrder): Promise<Omit<EngineOrderAnswer, "incarnation">> {
        const key = entryKey(kind, order.name, order.version ?? "");
        const existing = this.#entries.get(key);
        if (existing !== undefined) {
            return this.#waitUntilReady(key);
        }
        const megabytes = order.megabytes ?? 0;
        if (!this.#fits(megabytes, `load of ${key}`)) {
            return { outcome: "refused-memory" };
        }
        const entry: MemoryEntry = { kind, name: order.name, version: order.version ?? "", megabytes, ready: false };
        this.#entries.set(key, entry);
        try {
            await this.#options.readWeights(kind, order.name);
        }
        catch (error) {
            this.#entries.delete(key);
            return { outcome: "failed", message: String(error) };
        }
        entry.ready = true;
        this.loads += 1;
        return { outcome: "done" };
    }

    async #waitUntilReady(key: string): Promise<Omit<EngineOrderAnswer, "incarnation">> {
        while (this.#entries.get(key)?.ready === false) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        return this.#entries.has(key)
            ? { outcome: "done" }
            : { outcome: "failed", message: "evicted or failed while it was loading" };
    }

    #evict(kind: MemoryEntry["kind"], order: EngineOrder): Omit<EngineOrderAnswer, "incarnation"> {
        const entry = this.#entries.get(entryKey(kind, order.name, order.version ?? ""));
        if (entry === undefined) {
            return { outcome: "done" };
        }
        if (!entry.ready) {
            return { outcome: "failed", message: "still loading" };
        }
        this.#entries.delete(entryKey(kind, order.name, order.version ?? ""));
        this.evictions += 1;
        return { outcome: "done" };
    }

    #changeRole(role: string): Omit<EngineOrderAnswer, "incarnation"> {
        if (!this.#fits(this.#roleMegabytes(role) - this.#roleMegabytes(this.role), `role ${role}`)) {
            return { outcome: "refused-memory" };
        }
        this.role = role;
        return { outcome: "done" };
    }
}
