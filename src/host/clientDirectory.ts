/**
 * Holds one client for each upstream or peer, and closes those that are no longer needed.
 *
 * @module
 */

interface Closable {
    close(): Promise<void>;
}

/** Clients by name. */
export interface ClientDirectory<Client> {
    /** Returns the client of a name; creates it, or replaces it where its URL has changed. */
    get(name: string, url: string): Client;
    /** Closes and removes the clients of all other names. */
    keepOnly(names: ReadonlySet<string>): void;
    close(): Promise<void>;
}

/**
 * Creates an empty directory of clients.
 *
 * @param create Creates a client for a name and a base URL.
 *
 * @example
 * ```ts
 * const peers = createClientDirectory((_name, url) => createPeerClient(url));
 * const client = peers.get("entry-2", "http://127.0.0.2:7100");
 * ```
 */
export function createClientDirectory<Client extends Closable>(
    create: (name: string, url: string) => Client,
): ClientDirectory<Client> {
    const entries = new Map<string, { readonly url: string; readonly client: Client; }>();

    function remove(name: string): void {
        const entry = entries.get(name);
        entries.delete(name);
        void entry?.client.close();
    }

    return {
        get(name, url) {
            const existing = entries.get(name);
            if (existing?.url === url) {
                return existing.client;
            }
            remove(name);
            const client = create(name, url);
            entries.set(name, { url, client });
            return client;
        },
        keepOnly(names) {
            for (const name of [...entries.keys()].filter(key => !names.has(key))) {
                remove(name);
            }
        },
        async close() {
            await Promise.all([...entries.values()].map(({ client }) => client.close()));
            entries.clear();
        },
    };
}
