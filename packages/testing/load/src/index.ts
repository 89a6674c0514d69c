/**
 * Open-loop load with histograms free of coordinated omission.
 */
export {};
