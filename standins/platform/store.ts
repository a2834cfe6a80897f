/**
 * Stand-in of the platform's store, which implements its published calls.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { readBody } from "./_readBody.js";

/** How the store handles the calls that it receives. */
export type StoreMode =
    | "up"
    /** Answers 503 without applying the call. */
    | "refusing"
    /** Reads calls without applying or answering them. */
    | "silent"
    /** Applies writes and closes their connections without an answer. */
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

interface PendingWatch {
    readonly prefix: string;
    readonly after: number;
    readonly answer: () => void;
}

/** Content of the store at one time. */
interface Snapshot {
    readonly items: ReadonlyMap<string, Item>;
    readonly changes: readonly Change[];
    readonly leases: ReadonlySet<number>;
    readonly revision: number;
}

const PAGE_ITEMS = 50;

/** A running store. */
export class PlatformStoreStandIn {
    mode: StoreMode = "up";
    /**
     * True where leases do not expire while calls are refused or not answered; those of the platform may expire or pause
     * then.
     */
    keepsLeasesWhileUnavailable = false;
    /** Time from the arrival of a call to its effect. */
    delayMilliseconds = 0;
    /** Sent with each answer and incremented by each restore; not sent while it is `undefined`. */
    era: number | undefined;
    /** Paths of the received calls, oldest first. */
    readonly calls: string[] = [];
    readonly #items = new Map<string, Item>();
    readonly #changes: Change[] = [];
    readonly #leases = new Map<number, Lease>();
    readonly #pendingWatches = new Set<PendingWatch>();
    readonly #server: Server;
    #revision = 1;
    #oldestRevision = 0;
    #nextLease = 77_000;
    #snapshot: Snapshot | undefined;

    private constructor() {
        this.#server = createServer((message, response) => void this.#handleCall(message, response));
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

    /** Writes a key, as an operator or an upstream does. */
    put(key: string, value: unknown, lease = 0): void {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.#write(key, Buffer.from(text).toString("base64"), lease);
    }

    remove(key: string): void {
        if (this.#items.delete(key)) {
            this.#revision += 1;
            this.#changes.push({ key, revision: this.#revision, removed: true });
            this.#answerWatchesWithChanges();
        }
    }

    get(key: string): string | undefined {
        const item = this.#items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString();
    }

    keys(prefix: string): string[] {
        return [...this.#items.keys()].filter(key => key.startsWith(prefix)).sort();
    }

    /** Drops the history of changes, as the store may at any time, and closes all watches. */
    compact(): void {
        this.#oldestRevision = this.#revision;
        this.#changes.length = 0;
        this.#server.closeAllConnections();
    }

    /** Takes a snapshot of the store for `restore`. */
    takeSnapshot(): void {
        this.#snapshot = {
            items: new Map(this.#items),
            changes: [...this.#changes],
            leases: new Set(this.#leases.keys()),
            revision: this.#revision,
        };
    }

    /** Restores the snapshot: later writes and leases are lost, and their revisions are assigned again. */
    restore(): void {
        const snapshot = this.#snapshot;
        if (snapshot === undefined) {
            throw new Error("no snapshot was taken");
        }
        this.era = (this.era ?? 0) + 1;
        this.#items.clear();
        snapshot.items.forEach((item, key) => this.#items.set(key, item));
        this.#changes.splice(0, this.#changes.length, ...snapshot.changes);
        this.#revision = snapshot.revision;
        for (const [lease, { timer }] of this.#leases) {
            if (!snapshot.leases.has(lease)) {
                clearTimeout(timer);
                this.#leases.delete(lease);
            }
        }
        this.#server.closeAllConnections();
    }

    /** Ends a lease as if its time to live had passed. */
    expireLease(lease: number): void {
        const leaseEntry = this.#leases.get(lease);
        clearTimeout(leaseEntry?.timer);
        this.#leases.delete(lease);
        for (const item of [...this.#items.values()].filter(item => item.lease === lease)) {
            this.remove(item.key);
        }
    }

    #expireAfterTtl(lease: number): void {
        const leaseEntry = this.#leases.get(lease);
        if (leaseEntry !== undefined && this.keepsLeasesWhileUnavailable && this.mode !== "up") {
            leaseEntry.timer = setTimeout(() => this.#expireAfterTtl(lease), leaseEntry.ttlMs);
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
        this.#answerWatchesWithChanges();
        return this.#revision;
    }

    #answerWatchesWithChanges(): void {
        for (const watch of [...this.#pendingWatches]) {
            if (this.#changesAfter(watch.prefix, watch.after).length > 0) {
                watch.answer();
            }
        }
    }

    #changesAfter(prefix: string, after: number): Change[] {
        return this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    }

    async #handleCall(message: IncomingMessage, response: ServerResponse): Promise<void> {
        const text = await readBody(message);
        if (text === undefined) {
            return;
        }
        const url = new URL(message.url ?? "/", "http://store");
        this.calls.push(url.pathname);
        if (this.delayMilliseconds > 0) {
            await delay(this.delayMilliseconds);
        }
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
        const body: unknown = text === "" ? {} : JSON.parse(text);
        this.#answer(url, body, response);
    }

    #answer(url: URL, body: unknown, response: ServerResponse): void {
        const [, call = "", argument = ""] = url.pathname.split("/");
        const handlers: Readonly<Record<string, () => void>> = {
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
        const handler = handlers[call] ?? (() => this.#reply(response, 400, {}));
        handler();
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
            this.#pendingWatches.delete(watch);
            this.#reply(response, 200, {
                events: this.#changesAfter(prefix, after),
                storeRevision: this.#revision,
            });
        };
        const watch = { prefix, after, answer };
        const timer = setTimeout(answer, Number(url.searchParams.get("waitMs")));
        response.on("close", () => {
            clearTimeout(timer);
            this.#pendingWatches.delete(watch);
        });
        if (this.#changesAfter(prefix, after).length > 0) {
            answer();
            return;
        }
        this.#pendingWatches.add(watch);
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
        this.#leases.set(lease, { ttlMs, timer: setTimeout(() => this.#expireAfterTtl(lease), ttlMs) });
        this.#reply(response, 200, { lease, ttlMs }, true);
    }

    #answerKeep(lease: number, response: ServerResponse): void {
        const leaseEntry = this.#leases.get(lease);
        if (leaseEntry === undefined) {
            this.#reply(response, 404, {});
            return;
        }
        clearTimeout(leaseEntry.timer);
        leaseEntry.timer = setTimeout(() => this.#expireAfterTtl(lease), leaseEntry.ttlMs);
        this.#reply(response, 200, { ttlMs: leaseEntry.ttlMs });
    }
}

interface Transaction {
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
}
