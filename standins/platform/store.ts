/**
 * Stand-in of the platform's store, over its published calls.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

/** How the store treats the calls that reach it. */
export type StoreMode =
    | "up"
    /** Answers 503 and does nothing. */
    | "refusing"
    /** Reads calls and never answers. */
    | "silent"
    /** Carries writes out and drops their answers. */
    | "losing-answers";

interface Item {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
    readonly createdRev: number;
    readonly lease: number;
}

type Change = Item | { readonly key: string; readonly revision: number; readonly removed: true; };

interface Lease {
    readonly ttlMs: number;
    timer: NodeJS.Timeout;
}

interface Waiter {
    readonly prefix: string;
    readonly after: number;
    readonly answer: () => void;
}

/** What is stored at one moment. */
interface Copy {
    readonly items: ReadonlyMap<string, Item>;
    readonly changes: readonly Change[];
    readonly leases: ReadonlySet<number>;
    readonly revision: number;
}

const PAGE_ITEMS = 50;

/** A running store. */
export class PlatformStoreStandIn {
    mode: StoreMode = "up";
    /** What leases do while calls are refused or not answered: the platform's may run out or pause. */
    leasesPause = false;
    /** Named in all answers, and raised by each restore; answers name none while it is `undefined`. */
    era: number | undefined;
    /** Calls that arrived, by path. */
    readonly calls: string[] = [];
    readonly #items = new Map<string, Item>();
    readonly #changes: Change[] = [];
    readonly #leases = new Map<number, Lease>();
    readonly #waiters = new Set<Waiter>();
    readonly #server: Server;
    #revision = 1;
    #oldestRevision = 0;
    #nextLease = 77_000;
    #copy: Copy | undefined;

    private constructor() {
        this.#server = createServer((message, response) => void this.#take(message, response));
    }

    /** Starts a store on a free loopback port. */
    static async start(port = 0): Promise<PlatformStoreStandIn> {
        const store = new PlatformStoreStandIn();
        await new Promise<void>(resolve => store.#server.listen(port, "127.0.0.1", resolve));
        return store;
    }

    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    get revision(): number {
        return this.#revision;
    }

    /** Writes a key as the operator or an upstream does. */
    put(key: string, value: unknown, lease = 0): void {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.#write(key, Buffer.from(text).toString("base64"), lease);
    }

    remove(key: string): void {
        if (this.#items.delete(key)) {
            this.#revision += 1;
            this.#changes.push({ key, revision: this.#revision, removed: true });
            this.#wake();
        }
    }

    get(key: string): string | undefined {
        const item = this.#items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString();
    }

    keys(prefix: string): string[] {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    /** Drops the history, as the store may at any time, and cuts the watches. */
    compact(): void {
        this.#oldestRevision = this.#revision;
        this.#changes.length = 0;
        this.#server.closeAllConnections();
    }

    /** Keeps a copy of what is stored now, for `restore`. */
    keepCopy(): void {
        this.#copy = {
            items: new Map(this.#items),
            changes: [...this.#changes],
            leases: new Set(this.#leases.keys()),
            revision: this.#revision,
        };
    }

    /** Comes back from the copy: what was written and granted since is gone, and its revisions are given out again. */
    restore(): void {
        const copy = this.#copy;
        if (copy === undefined) {
            throw new Error("there is no copy");
        }
        this.era = (this.era ?? 0) + 1;
        this.#items.clear();
        copy.items.forEach((item, key) => this.#items.set(key, item));
        this.#changes.splice(0, this.#changes.length, ...copy.changes);
        this.#revision = copy.revision;
        for (const [lease, { timer }] of this.#leases) {
            if (!copy.leases.has(lease)) {
                clearTimeout(timer);
                this.#leases.delete(lease);
            }
        }
        this.#server.closeAllConnections();
    }

    /** Ends a lease as if its time had run out. */
    expireLease(lease: number): void {
        const found = this.#leases.get(lease);
        clearTimeout(found?.timer);
        this.#leases.delete(lease);
        for (const item of [...this.#items.values()].filter(item => item.lease === lease)) {
            this.remove(item.key);
        }
    }

    #runOut(lease: number): void {
        const found = this.#leases.get(lease);
        if (found !== undefined && this.leasesPause && this.mode !== "up") {
            found.timer = setTimeout(() => this.#runOut(lease), found.ttlMs);
            return;
        }
        this.expireLease(lease);
    }

    async close(): Promise<void> {
        this.#leases.forEach(({ timer }) => clearTimeout(timer));
        this.#server.closeAllConnections();
        await new Promise(resolve => this.#server.close(resolve));
    }

    #write(key: string, value: string, lease: number): number {
        this.#revision += 1;
        const createdRev = this.#items.get(key)?.createdRev ?? this.#revision;
        const item = { key, value, revision: this.#revision, createdRev, lease };
        this.#items.set(key, item);
        this.#changes.push(item);
        this.#wake();
        return this.#revision;
    }

    #wake(): void {
        for (const waiter of [...this.#waiters]) {
            if (this.#changesAfter(waiter.prefix, waiter.after).length > 0) {
                waiter.answer();
            }
        }
    }

    #changesAfter(prefix: string, after: number): Change[] {
        return this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    }

    async #take(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const pieces: Buffer[] = [];
        for await (const piece of message) {
            pieces.push(piece as Buffer);
        }
        const url = new URL(message.url ?? "/", "http://store");
        this.calls.push(url.pathname);
        if (this.mode === "silent") {
            return;
        }
        if (this.era !== undefined) {
            response.setHeader("store-era", String(this.era));
        }
        if (this.mode === "refusing") {
            response.writeHead(503).end();
            return;
        }
        const text = Buffer.concat(pieces).toString();
        const body: unknown = text === "" ? {} : JSON.parse(text);
        this.#answer(url, body, response);
    }

    #answer(url: URL, body: unknown, response: ServerResponse): void {
        const [, call = "", argument = ""] = url.pathname.split("/");
        const answers: Readonly<Record<string, () => void>> = {
            "kv-key": () => this.#answerKey(url, response),
            "kv-range": () => this.#answerRange(url, response),
            "kv-watch": () => this.#answerWatch(url, response),
            "kv-txn": () => this.#answerTransaction(body as Transaction, response),
            "kv-lease": () => this.#answerLease(body as { readonly ttlMs: number; }, response),
            "kv-keep": () => this.#answerKeep(Number(argument), response),
            "kv-lease-end": () => {
                this.expireLease(Number(argument));
                this.#reply(response, 200, {});
            },
        };
        const answer = answers[call] ?? (() => this.#reply(response, 400, {}));
        answer();
    }

    #reply(response: ServerResponse, status: number, body: unknown, isWrite = false): void {
        if (isWrite && this.mode === "losing-answers") {
            response.destroy();
            return;
        }
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    #answerKey(url: URL, response: ServerResponse): void {
        const item = this.#items.get(url.searchParams.get("key") ?? "");
        this.#reply(response, item === undefined ? 404 : 200, { ...item, storeRevision: this.#revision });
    }

    #answerRange(url: URL, response: ServerResponse): void {
        const prefix = url.searchParams.get("pathPrefix") ?? "";
        const after = url.searchParams.get("after") ?? "";
        const keys = this.keys(prefix).filter(key => key > after);
        const items = keys.slice(0, PAGE_ITEMS).map(key => this.#items.get(key));
        this.#reply(response, 200, { items, morePages: keys.length > PAGE_ITEMS, storeRevision: this.#revision });
    }

    #answerWatch(url: URL, response: ServerResponse): void {
        const prefix = url.searchParams.get("pathPrefix") ?? "";
        const after = Number(url.searchParams.get("after"));
        if (after < this.#oldestRevision || after > this.#revision) {
            this.#reply(response, 410, {});
            return;
        }
        const answer = (): void => {
            clearTimeout(timer);
            this.#waiters.delete(waiter);
            this.#reply(response, 200, {
                events: this.#changesAfter(prefix, after),
                storeRevision: this.#revision,
            });
        };
        const waiter = { prefix, after, answer };
        const timer = setTimeout(answer, Number(url.searchParams.get("waitMs")));
        response.on("close", () => {
            clearTimeout(timer);
            this.#waiters.delete(waiter);
        });
        if (this.#changesAfter(prefix, after).length > 0) {
            answer();
            return;
        }
        this.#waiters.add(waiter);
    }

    #answerTransaction({ expected, puts }: Transaction, response: ServerResponse): void {
        const stale = expected.filter(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision);
        if (stale.length > 0) {
            const items = expected.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
            this.#reply(response, 412, { items }, true);
            return;
        }
        if (puts.some(({ lease }) => lease !== undefined && lease !== 0 && !this.#leases.has(lease))) {
            this.#reply(response, 404, {}, true);
            return;
        }
        puts.forEach(({ key, value, lease }) => this.#write(key, value, lease ?? 0));
        this.#reply(response, 200, { revision: this.#revision }, true);
    }

    #answerLease({ ttlMs }: { readonly ttlMs: number; }, response: ServerResponse): void {
        this.#nextLease += 1;
        const lease = this.#nextLease;
        this.#leases.set(lease, { ttlMs, timer: setTimeout(() => this.#runOut(lease), ttlMs) });
        this.#reply(response, 200, { lease, ttlMs }, true);
    }

    #answerKeep(lease: number, response: ServerResponse): void {
        const found = this.#leases.get(lease);
        if (found === undefined) {
            this.#reply(response, 404, {});
            return;
        }
        clearTimeout(found.timer);
        found.timer = setTimeout(() => this.#runOut(lease), found.ttlMs);
        this.#reply(response, 200, { ttlMs: found.ttlMs });
    }
}

interface Transaction {
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
}
