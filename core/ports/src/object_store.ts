/** The platform's object store. */
export interface ObjectStore {
  put(key: string, value: string): Promise<void>;
  get(key: string): Promise<string | undefined>;
}
