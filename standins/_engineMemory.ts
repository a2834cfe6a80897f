/**
 * What an engine stand-in holds: its memory, models, adapters and role, changed by orders.
 *
 * @module
 */
import { type EngineOrder, type EngineOrderAnswer } from "../src/generated/upstreams.js";

/** Something that takes memory from the start of its load to the end of its eviction. */
interface Held {
    readonly kind: "model" | "adapter";
    readonly name: string;
    readonly version: string;
    readonly megabytes: number;
    ready: boolean;
}

/** What an engine's memory is made with. */
export interface EngineMemoryOptions {
    readonly memoryMegabytes: number;
    readonly checksFencing: boolean;
    readonly roleMegabytes: Readonly<Record<string, number>>;
    /** Waits until the weights have been read. */
    readonly readWeights: (kind: "model" | "adapter", name: string) => Promise<void>;
    readonly onViolation: (message: string) => void;
}

function identify(kind: string, name: string, version: string): string {
    return `${kind}/${name}/${version}`;
}

/** The memory of one incarnation of an engine. */
export class EngineMemory {
    readonly #options: EngineMemoryOptions;
    readonly #held = new Map<string, Held>();
    #highest = { epoch: 0, sequence: 0 };
    role = "";
    loads = 0;
    evictions = 0;

    constructor(options: EngineMemoryOptions) {
        this.#options = options;
    }

    usedMegabytes(): number {
        const held = [...this.#held.values()].reduce((sum, { megabytes }) => sum + megabytes, 0);
        return held + this.#roleSize(this.role);
    }

    models(): { name: string; version: string; }[] {
        return this.#ready("model").map(({ name, version }) => ({ name, version }));
    }

    adapters(): string[] {
        return this.#ready("adapter").map(({ name }) => name);
    }

    async apply(order: EngineOrder): Promise<Omit<EngineOrderAnswer, "incarnation">> {
        if (!this.#passesFencing(order)) {
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

    #ready(kind: Held["kind"]): Held[] {
        const ready = [...this.#held.values()].filter(held => held.kind === kind && held.ready);
        return ready.sort((left, right) => left.name < right.name ? -1 : 1);
    }

    #roleSize(role: string): number {
        return this.#options.roleMegabytes[role] ?? 0;
    }

    #passesFencing({ fencing }: EngineOrder): boolean {
        const { epoch, sequence } = this.#highest;
        const old = fencing.epoch < epoch || (fencing.epoch === epoch && fencing.sequence < sequence);
        if (!old) {
            this.#highest = { ...fencing };
        }
        return !old || !this.#options.checksFencing;
    }

    #fits(addedMegabytes: number, purpose: string): boolean {
        const wanted = this.usedMegabytes() + addedMegabytes;
        if (wanted <= this.#options.memoryMegabytes) {
            return true;
        }
        this.#options.onViolation(`${purpose}: ${wanted} of ${this.#options.memoryMegabytes} megabytes`);
        return false;
    }

    async #load(kind: Held["kind"], order: EngineOrder): Promise<Omit<EngineOrderAnswer, "incarnation">> {
        const identifier = identify(kind, order.name, order.version ?? "");
        const present = this.#held.get(identifier);
        if (present !== undefined) {
            return this.#waitUntilReady(identifier);
        }
        const megabytes = order.megabytes ?? 0;
        if (!this.#fits(megabytes, `load of ${identifier}`)) {
            return { outcome: "refused-memory" };
        }
        const held: Held = { kind, name: order.name, version: order.version ?? "", megabytes, ready: false };
        this.#held.set(identifier, held);
        try {
            await this.#options.readWeights(kind, order.name);
        }
        catch (error) {
            this.#held.delete(identifier);
            return { outcome: "failed", message: String(error) };
        }
        held.ready = true;
        this.loads += 1;
        return { outcome: "done" };
    }

    async #waitUntilReady(identifier: string): Promise<Omit<EngineOrderAnswer, "incarnation">> {
        while (this.#held.get(identifier)?.ready === false) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        return this.#held.has(identifier)
            ? { outcome: "done" }
            : { outcome: "failed", message: "evicted or failed while it was loading" };
    }

    #evict(kind: Held["kind"], order: EngineOrder): Omit<EngineOrderAnswer, "incarnation"> {
        const held = this.#held.get(identify(kind, order.name, order.version ?? ""));
        if (held === undefined) {
            return { outcome: "done" };
        }
        if (!held.ready) {
            return { outcome: "failed", message: "still loading" };
        }
        this.#held.delete(identify(kind, order.name, order.version ?? ""));
        this.evictions += 1;
        return { outcome: "done" };
    }

    #changeRole(role: string): Omit<EngineOrderAnswer, "incarnation"> {
        if (!this.#fits(this.#roleSize(role) - this.#roleSize(this.role), `role ${role}`)) {
            return { outcome: "refused-memory" };
        }
        this.role = role;
        return { outcome: "done" };
    }
}
