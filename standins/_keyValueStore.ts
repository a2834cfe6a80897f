/**
 * State of the key-value stand-in: keys with revisions, leases, and watchers.
 *
 * @module
 */

const EXPIRY_CHECK_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1000;

/** One stored key. */
export interface StoredKey {
    readonly key: string;
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly lease: string;
}

/** A change of one key; `stored` is `undefined` where the key was deleted. */
export interface StoredChange {
    readonly revision: number;
    readonly key: string;
    readonly stored: StoredKey | undefined;
}

interface Lease {
    readonly seconds: number;
    expiresAt: number;
}

/**
 * Returns whether a key is in a range as etcd defines it: an empty `end` stands for the key `start` alone, and a zero
 * byte for no upper end.
 */
export function isInRange(key: string, start: string, end: string): boolean {
    if (end === "") {
        return key === start;
    }
    return key >= start && (end === "\0" || key < end);
}

/** Stores keys with revisions, deletes those of expired leases, and notifies watchers of each change. */
export class KeyValueStore {
    revision = 1;
    readonly #keys = new Map<string, StoredKey>();
    readonly #leases = new Map<string, Lease>();
    readonly #watchers = new Set<(change: StoredChange) => void>();
    readonly history: StoredChange[] = [];
    readonly #expiryTimer = setInterval(() => {
        this.#revokeExpired();
    }, EXPIRY_CHECK_MILLISECONDS);
    #nextLease = 7000;

    range(start: string, end: string): StoredKey[] {
        const keysInRange = [...this.#keys.values()].filter(({ key }) => isInRange(key, start, end));
        return keysInRange.sort((left, right) => left.key < right.key ? -1 : 1);
    }

    modRevisionOf(key: string): number {
        return this.#keys.get(key)?.modRevision ?? 0;
    }

    put(key: string, value: string, lease: string): boolean {
        if (lease !== "0" && !this.#leases.has(lease)) {
            return false;
        }
        this.revision += 1;
        const previous = this.#keys.get(key);
        const stored = {
            key,
            value,
            createRevision: previous?.createRevision ?? this.revision,
            modRevision: this.revision,
            version: (previous?.version ?? 0) + 1,
            lease,
        };
        this.#keys.set(key, stored);
        this.#publish({ revision: this.revision, key, stored });
        return true;
    }

    delete(key: string): void {
        if (this.#keys.delete(key)) {
            this.revision += 1;
            this.#publish({ revision: this.revision, key, stored: undefined });
        }
    }

    grant(seconds: number): string {
        this.#nextLease += 1;
        const lease = String(this.#nextLease);
        this.#leases.set(lease, { seconds, expiresAt: performance.now() + seconds * MILLISECONDS_PER_SECOND });
        return lease;
    }

    /** Renews a lease. Returns its time to live in seconds, or 0 where it has expired. */
    keepAlive(identifier: string): number {
        this.#revokeExpired();
        const lease = this.#leases.get(identifier);
        if (lease === undefined) {
            return 0;
        }
        lease.expiresAt = performance.now() + lease.seconds * MILLISECONDS_PER_SECOND;
        return lease.seconds;
    }

    revoke(identifier: string): boolean {
        const existed = this.#leases.delete(identifier);
        const boundKeys = [...this.#keys.values()].filter(({ lease }) => lease === identifier);
        boundKeys.forEach(({ key }) => {
            this.delete(key);
        });
        return existed;
    }

    subscribe(watcher: (change: StoredChange) => void): () => void {
        this.#watchers.add(watcher);
        return () => this.#watchers.delete(watcher);
    }

    clear(): void {
        this.#keys.clear();
        this.#leases.clear();
        this.history.length = 0;
        this.revision = 1;
    }

    close(): void {
        clearInterval(this.#expiryTimer);
    }

    #revokeExpired(): void {
        const now = performance.now();
        const expired = [...this.#leases].filter(([, lease]) => lease.expiresAt <= now);
        expired.forEach(([identifier]) => this.revoke(identifier));
    }

    #publish(change: StoredChange): void {
        this.history.push(change);
        this.#watchers.forEach(watcher => {
            watcher(change);
        });
    }
}
